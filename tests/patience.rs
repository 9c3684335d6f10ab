//! Waits that end while the process stood still.

use {
    bayplank::web::{self, WaitOver},
    std::time::Duration,
    tokio::{io::AsyncReadExt, net::TcpListener},
};

/// Bytes that arrived while the process was paused past the end of a wait are still read.
#[test]
fn what_arrived_during_a_pause_still_counts() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        for _ in 0..20 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let mut caller = tokio::net::TcpStream::connect(address).await.unwrap();
            let (server, _) = listener.accept().await.unwrap();
            // As with an HTTP client, a task of its own reads the connection and passes on what came.
            let (sender, receiver) = tokio::sync::oneshot::channel();
            tokio::spawn(async move {
                let mut byte = [0; 1];
                let read = caller.read_exact(&mut byte).await;
                tokio::task::yield_now().await;
                let _ = sender.send(read);
            });
            let reading = web::within(Duration::from_millis(30), receiver);
            let pause = async {
                // The whole runtime stands still, as a paused process does, while the answer arrives.
                tokio::task::yield_now().await;
                server.try_write(b"x").unwrap();
                std::thread::sleep(Duration::from_millis(60));
            };
            let (read, ()) = tokio::join!(reading, pause);
            assert!(read.is_ok(), "the byte had arrived");
        }
    });
}

#[test]
fn a_wait_for_nothing_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let waited = runtime.block_on(web::within(
        Duration::from_millis(5),
        std::future::pending::<()>(),
    ));
    assert_eq!(waited, Err(WaitOver));
}
