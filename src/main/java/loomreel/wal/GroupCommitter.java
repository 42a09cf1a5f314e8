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
 * Syncs the files of a log on a thread of its own. Requests that arrive during an fsync share the
 * next one (group commit).
 */
final class GroupCommitter {
  /** A request from the log's thread to the sync thread. */
  private sealed interface Request {}

  /** Requests a sync of the data of a file up to a position of the log. */
  private record Sync(FileChannel channel, long position) implements Request {}

  /** Requests a sync of the data of a file up to a position of the log, and then its close. */
  private record SyncAndClose(FileChannel channel, long position) implements Request {}

  /** Ends the sync thread after all earlier requests. */
  private record Stop() implements Request {}

  private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
  private final LongConsumer onSynced;
  private final Consumer<IOException> onFailure;

  /** Whether a sync has failed. Used on the sync thread only. */
  private boolean hasFailed;

  private final Thread thread = new Thread(this::run, "journal-sync");

  /**
   * Starts the sync thread, on which both callbacks are called.
   *
   * @param onSynced called with the position up to which the log is synced
   * @param onFailure called with each failure of a sync; after the first one, {@code onSynced} is
   *     not called any more
   */
  GroupCommitter(LongConsumer onSynced, Consumer<IOException> onFailure) {
    this.onSynced = onSynced;
    this.onFailure = onFailure;
    thread.setDaemon(true);
    thread.start();
  }

  /** Requests a sync of the data of a file up to a position of the log. Does not wait for it. */
  void force(FileChannel channel, long position) {
    requests.add(new Sync(channel, position));
  }

  /**
   * Takes ownership of a file to which nothing more is written, and requests its sync up to a
   * position of the log and then its close. Does not wait for them.
   */
  void syncAndClose(FileChannel channel, long position) {
    requests.add(new SyncAndClose(channel, position));
  }

  /**
   * Waits until all requests are completed and the sync thread has ended. Returns early if the
   * calling thread is interrupted.
   */
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
        // After a failed fsync the kernel may have dropped the unwritten pages, but a later fsync
        // can succeed nevertheless. So nothing is reported as synced from here on.
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
      } else if (request instanceof SyncAndClose finalSync) {
        toSync.add(finalSync.channel());
        toClose.add(finalSync.channel());
        position = Math.max(position, finalSync.position());
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
