//! Log lines to standard output, through a queue of fixed size that nobody ever waits for.

use {
    env_logger::{Builder, Env, Target, fmt::Formatter},
    log::Record,
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Lines that wait for standard output at most; beyond, lines are left out and counted.
const QUEUE_LINES: usize = 1_024;

/// Longest wait at a process's end for its last lines to be written; a pipe that is read takes them at once.
const FINISH_TIME: Duration = Duration::from_millis(50);

/// Pause between two looks whether they are.
const FINISH_PAUSE: Duration = Duration::from_millis(1);

// Lines of this process that were queued, and that were written.
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Waits, for a short time at most, until the lines that were logged are written: the last ones of a process would
/// go with it otherwise.
pub fn finish_log() {
    let until = Instant::now() + FINISH_TIME;
    while WRITTEN.load(Ordering::Acquire) < QUEUED.load(Ordering::Acquire) && Instant::now() < until
    {
        thread::sleep(FINISH_PAUSE);
    }
}

/// Starts logging to standard output; `RUST_LOG` sets the level, `info` by default.
///
/// Nobody waits for standard output: if it is not read, lines are left out, and their number is
/// logged once it is read again.
pub fn start_log() {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let left_out = Arc::new(AtomicU64::new(0));
    let queue = LineQueue {
        sender,
        left_out: left_out.clone(),
    };
    let started = thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver, &left_out, &mut io::stdout()));
    if let Err(error) = started {
        eprintln!("no thread for the log: {error}");
        return;
    }
    let environment = Env::default().default_filter_or("info");
    let mut builder = Builder::from_env(environment);
    builder.format(write_record);
    builder.target(Target::Pipe(Box::new(queue)));
    // A second start, in tests, changes nothing.
    let _ = builder.try_init();
}

fn write_record(buffer: &mut Formatter, record: &Record) -> io::Result<()> {
    let time = buffer.timestamp_millis();
    let level = record.level();
    let module = record.target();
    writeln!(
        buffer,
        "time={time} level={level} module={module} {}",
        record.args()
    )
}

/// Lines on their way to standard output.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(bytes.to_vec()) {
            Ok(()) => QUEUED.fetch_add(1, Ordering::Release),
            Err(_) => self.left_out.fetch_add(1, Ordering::Relaxed),
        };
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until there is no more sender; a line after a gap tells how many were left out.
pub fn write_lines(lines: &Receiver<Vec<u8>>, left_out: &AtomicU64, output: &mut dyn Write) {
    for line in lines {
        let missing = left_out.swap(0, Ordering::Relaxed);
        let written = match missing {
            0 => output.write_all(&line),
            _ => writeln!(output, "level=WARN lines left out of the log: {missing}")
                .and_then(|()| output.write_all(&line)),
        };
        // Nobody reads it any more; the host goes on without a log.
        if written.is_err() {
            return;
        }
        WRITTEN.fetch_add(1, Ordering::Release);
    }
}
