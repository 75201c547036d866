//! Demonstration: serves a prompt from an empty cache, evicts its blocks from the engines, and
//! sends the same prompt through another daemon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_types::{Bytes, WeightVersion};
use cumintrail_wire::caller::{Completion, CompletionRequest, STREAM_END};
use futures_util::StreamExt;
use serde::Serialize;

use crate::cluster::{CALLER_KEY, Cluster, ClusterError, Plan, eventually};
use crate::standins::engine;
use crate::standins::store::Store;

const OUTPUT_TOKENS: u32 = 16;
const CATALOGUE_LINES: usize = 1_500;
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);
const BLOCK_TEXT_BYTES: usize = 400;

/// Measurements of the demonstration.
#[derive(Debug, Serialize)]
pub struct Results {
    /// The first call, with empty caches.
    pub cold: Measurement,
    /// The second call, after the eviction.
    pub returned: Measurement,
}

/// Cost of one response.
#[derive(Debug, Serialize)]
pub struct Measurement {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Fraction of the prompt tokens that the engine computed.
    pub recomputed_share: f64,
    /// Bytes read from stores during the call.
    pub link_bytes: u64,
    /// Whether the response ended properly and its text was correct.
    pub complete: bool,
}

/// Runs the demonstration on a cluster of its own.
pub async fn run() -> Result<Results, ClusterError> {
    let plan = Plan::default();
    let cluster = Cluster::spawn(&plan).await?;
    let prompt = catalogue();
    let cold = send_prompt(&cluster, cluster.daemons[0].caller_address(), &prompt).await;

    let block_count = prompt.len() / BLOCK_TEXT_BYTES;
    let all_stored = || cluster.stores[0].blocks().len() >= block_count;
    eventually(EXPORT_TIMEOUT, all_stored).await;
    for engine in &cluster.engines {
        engine.evict_all();
    }
    // The other daemon receives evictions and stored blocks in cache events, store listings and
    // peer digests.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let returned = send_prompt(&cluster, cluster.daemons[1].caller_address(), &prompt).await;
    Ok(Results { cold, returned })
}

fn catalogue() -> String {
    let line =
        |i| format!("{i}: kesong puti, wrapped in banana leaf, 200 g, lot {}\n", i * 7 % 101);
    (0..CATALOGUE_LINES).map(line).collect()
}

async fn send_prompt(cluster: &Cluster, at: SocketAddr, prompt: &str) -> Measurement {
    let before: u64 = cluster.stores.iter().map(Store::sent_bytes).sum();
    let request = CompletionRequest {
        model: "curd".into(),
        prompt: prompt.to_owned(),
        max_tokens: Some(OUTPUT_TOKENS),
        stream: true,
    };
    let started = Instant::now();
    let client = awc::Client::builder().disable_timeout().finish();
    let req = client.request(Method::POST, format!("http://{at}/v1/completions"));
    let req = req.insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
    let mut measured =
        Measurement { first_token_ms: 0.0, recomputed_share: 1.0, link_bytes: 0, complete: false };
    let Ok(response) = req.send_json(&request).await else {
        return measured;
    };

    let mut events = eventsource_stream::EventStream::new(response);
    let (mut text, mut done) = (String::new(), false);
    while let Some(Ok(event)) = events.next().await {
        if event.data == STREAM_END {
            done = true;
            break;
        }
        let Ok(chunk) = serde_json::from_str::<Completion>(&event.data) else {
            break;
        };
        if text.is_empty() {
            measured.first_token_ms = started.elapsed().as_secs_f64() * 1e3;
        }
        text.extend(chunk.choices.iter().filter_map(|c| c.text.as_deref()));
        if let Some(usage) = chunk.usage {
            let computed = usage.prompt_tokens - usage.cached_tokens - usage.imported_tokens;
            measured.recomputed_share = f64::from(computed) / f64::from(usage.prompt_tokens);
        }
    }
    let after: u64 = cluster.stores.iter().map(Store::sent_bytes).sum();
    measured.link_bytes = Bytes(after).saturating_sub(Bytes(before)).0;
    let expected = engine::response_text(prompt, WeightVersion(1), OUTPUT_TOKENS as usize);
    measured.complete = done && text == expected;
    measured
}
