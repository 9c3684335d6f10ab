//! The log: a queue that nobody waits for, and a request's story out of it.

use {
    bayplank::{cli, event},
    std::{
        io::{self, Write},
        sync::{atomic::AtomicU64, mpsc},
    },
};

#[test]
fn lines_left_out_are_counted_in_the_log() {
    let (sender, receiver) = mpsc::sync_channel(4);
    sender.send(b"kept\n".to_vec()).unwrap();
    drop(sender);
    let mut output = Vec::new();
    event::write_lines(&receiver, &AtomicU64::new(3), &mut output);
    let text = String::from_utf8(output).unwrap();
    assert_eq!(text, "level=WARN lines left out of the log: 3\nkept\n");
}

#[test]
fn an_output_that_is_closed_ends_the_writer() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (sender, receiver) = mpsc::sync_channel(4);
    sender.send(b"line\n".to_vec()).unwrap();
    event::write_lines(&receiver, &AtomicU64::new(0), &mut Closed);
    // The sender lives, and the writer has ended all the same.
    drop(sender);
}

#[test]
fn a_story_is_told_by_time_whatever_host_wrote_it() {
    let log = "\
        host-2 time=2026-01-01T00:00:02Z name=request-ended request=r-1 end=whole\n\
        host-1 time=2026-01-01T00:00:01Z name=prefill-failed request=r-1\n\
        host-1 time=2026-01-01T00:00:01Z name=request-ended request=r-12 end=whole\n";
    let story = cli::request_story("r-1", log.lines());
    assert_eq!(story.len(), 2);
    assert!(story[0].contains("prefill-failed"));
}

#[test]
fn a_story_has_the_lines_of_the_host_that_carried_the_requests_connection() {
    let log = "\
time=3 name=connection-carried connection=10.0.0.1:5 backend=s-1
time=1 name=request-carried request=r-1 backend=s-1 host=front-2 connection=10.0.0.1:5
time=2 name=request-ended request=r-1 end=200
time=4 name=connection-carried connection=10.0.0.1:6 backend=s-1
time=5 name=request-ended request=r-2 end=200";
    let story = cli::request_story("r-1", log.lines());
    let times: Vec<&str> = story
        .iter()
        .filter_map(|line| line.split(' ').next())
        .collect();
    assert_eq!(times, ["time=1", "time=2", "time=3"]);
}
