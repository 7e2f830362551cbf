//! Writes log lines to standard output from a thread of its own, through a bounded queue, so that a
//! stalled reader never blocks the process.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

use crate::runtime;

/// Maximum number of lines that wait for standard output. While the queue is full, further lines
/// are dropped and counted, so that a stalled reader costs the process neither memory nor time.
const MAX_QUEUED_LINES: usize = 2_048;

/// Writer that queues each complete line for standard output.
pub struct Sink {
    lines: Sender<Vec<u8>>,
    /// Line that is not complete yet.
    line: Vec<u8>,
    /// Lines dropped since the last report.
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start() -> eyre::Result<Self> {
        let (lines, queue) = bounded(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_in_thread = dropped.clone();
        runtime::spawn("log", move || write_lines(&queue, &dropped_in_thread))?;
        Ok(Sink { lines, line: Vec::new(), dropped })
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    for line in queue {
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            // If standard output itself fails, there is nowhere to report the error.
            let _ = writeln!(out, "log: lines_dropped={count}");
        }
        let _ = out.write_all(&line);
        if queue.is_empty() {
            let _ = out.flush();
        }
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
