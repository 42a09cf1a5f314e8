package loomreel.wal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Owns the thread that waits for the disk. Requests that arrive during an fsync share the next one
 * (group commit).
 */
final class GroupCommitter {
  /** A message from the log's thread to the thread of this class. */
  private sealed interface Request {}

  /** Requests a sync of what was written to a file up to a position of the log. */
  private record Sync(FileChannel channel, long position) implements Request {}

  /** Requests the same, and closes the file afterwards. */
  private record SyncAndClose(FileChannel channel, long position) implements Request {}

  /** Ends the thread after what was requested before. */
  private record Stop() implements Request {}

  private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
  private final LongConsumer onSynced;
  private final Consumer<IOException> onFailure;

  /** Whether a sync has failed; used by the thread of this class alone. */
  private boolean hasFailed;

  private final Thread thread = new Thread(this::run, "journal-sync");

  /**
   * Starts the thread, on which both callbacks are called.
   *
   * @param onSynced receives the position up to which the log is synced
   * @param onFailure receives a failure, after which nothing is reported as synced any more
   */
  GroupCommitter(LongConsumer onSynced, Consumer<IOException> onFailure) {
    this.onSynced = onSynced;
    this.onFailure = onFailure;
    thread.setDaemon(true);
    thread.start();
  }

  /** Requests a sync of what was written to a file, up to a position of the log. */
  void force(FileChannel channel, long position) {
    requests.add(new Sync(channel, position));
  }

  /** Passes ownership of a file to which nothing more is written; it is synced and closed. */
  void retire(FileChannel channel, long position) {
    requests.add(new SyncAndClose(channel, position));
  }

  /** Completes all requests, and waits for the thread to end. */
  void close() {
    requests.add(new Stop());
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    List<Request> batch = new ArrayList<>();
    while (batch.stream().noneMatch(Stop.class::isInstance)) {
      batch.clear();
      try {
        batch.add(requests.take());
      } catch (InterruptedException e) {
        return;
      }
      requests.drainTo(batch);
      try {
        sync(batch);
      } catch (IOException e) {
        // After a failed fsync the kernel may have dropped the pages, yet a later one can succeed:
        // nothing is reported as synced again.
        hasFailed = true;
        onFailure.accept(e);
      }
    }
  }

  private void sync(List<Request> batch) throws IOException {
    Set<FileChannel> toSync = new LinkedHashSet<>();
    List<FileChannel> toClose = new ArrayList<>();
    long position = 0;
    for (Request request : batch) {
      if (request instanceof Sync sync) {
        toSync.add(sync.channel());
        position = Math.max(position, sync.position());
      } else if (request instanceof SyncAndClose last) {
        toSync.add(last.channel());
        toClose.add(last.channel());
        position = Math.max(position, last.position());
      }
    }
    for (FileChannel channel : toSync) {
      channel.force(false);
    }
    for (FileChannel channel : toClose) {
      channel.close();
    }
    if (position > 0 && !hasFailed) {
      onSynced.accept(position);
    }
  }
}
