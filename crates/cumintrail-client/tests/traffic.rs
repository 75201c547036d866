//! The byte count of an `HttpClient` equals the bytes transferred on its connection.

use std::time::Duration;

use actix_http::Method;
use cumintrail_client::HttpClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nx-run: 7\r\ncontent-length: 4\r\n\r\n1234";

#[actix_rt::test]
async fn the_count_is_what_a_listener_receives_and_sends() {
    for body in [None, Some("three wheels of cheese")] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let received = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = vec![0; 4_096];
            let length = stream.read(&mut buf).await.unwrap();
            stream.write_all(RESPONSE).await.unwrap();
            String::from_utf8_lossy(&buf[..length]).into_owned()
        });
        let client = HttpClient::pooled(Duration::from_secs(5));
        let parsed: u32 = client.exchange(Method::POST, at, "/a?b=1", body.as_ref()).await.unwrap();
        let text = received.await.unwrap();
        assert_eq!(
            (parsed, client.transferred_bytes()),
            (1234, (text.len() + RESPONSE.len()) as u64),
            "{text}"
        );
    }
}
