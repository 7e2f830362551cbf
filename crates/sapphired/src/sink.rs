//! Standard output for log lines: bounded, and never in the way of the process.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

use crate::runtime;

/// Lines that may wait for standard output. A reader that stalls for longer costs lines, which
/// are counted, and neither memory nor time of the process.
const MAX_LINES: usize = 2_048;

/// A writer that takes whole lines.
pub struct Sink {
    lines: Sender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start() -> eyre::Result<Self> {
        let (lines, queue) = bounded(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        runtime::spawn("log", move || write_all(&queue, &counted))?;
        Ok(Sink { lines, line: Vec::new(), dropped })
    }
}

fn write_all(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    for line in queue {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            // Nobody is left to tell when standard output itself fails.
            let _ = writeln!(out, "log: lines_dropped={lost}");
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
