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
 * Syncs the segment files of a {@link WriteAheadLog} to the disk on a separate thread. All requests
 * that arrive during an fsync form the next batch. In a batch, one fsync of each file completes all
 * requests for this file (group commit).
 *
 * <p>A position of the log is a number of bytes that this process has appended to the log, counted
 * from the start of the process.
 */
final class GroupCommitter {
  /** A request from the log's thread to the sync thread. */
  private sealed interface Request {}

  /** Requests a sync of a file. After the sync, the log is synced up to the position. */
  private record Sync(FileChannel channel, long position) implements Request {}

  /**
   * Requests a sync and then the close of a file. After the sync, the log is synced up to the
   * position.
   */
  private record SyncAndClose(FileChannel channel, long position) implements Request {}

  /** Ends the sync thread after all earlier requests are completed. */
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
   * @param onSynced called with the position up to which the log is synced; not called any more
   *     after a sync has failed
   * @param onFailure called with each failure of a sync
   */
  GroupCommitter(LongConsumer onSynced, Consumer<IOException> onFailure) {
    this.onSynced = onSynced;
    this.onFailure = onFailure;
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Requests a sync of a file. Returns without waiting for the sync.
   *
   * @param position the position up to which the log is synced after the sync of this file
   */
  void force(FileChannel channel, long position) {
    requests.add(new Sync(channel, position));
  }

  /**
   * Takes ownership of a file to which nothing more is written, and requests a sync and then the
   * close of the file. Returns without waiting for either.
   *
   * @param position the position up to which the log is synced after the sync of this file
   */
  void syncAndClose(FileChannel channel, long position) {
    requests.add(new SyncAndClose(channel, position));
  }

  /**
   * Ends the sync thread after all earlier requests are completed, and waits until the thread has
   * ended. Returns early if the calling thread is interrupted.
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
        // After a failed fsync, the kernel may have dropped the pages that were not written. A
        // later fsync can succeed nevertheless. Therefore no position is reported as synced any
        // more.
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
