//! Callers of two accounts with equal prompts, and operations that must run at most once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_rt::task::JoinHandle;
use cumintrail_wire::caller::{IDEMPOTENCY_KEY_HEADER, OperationKeyResponse};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::book::{Book, ModelCall};
use super::history::Span;
use crate::cluster::{CALLER_KEY, OTHER_KEY};
use crate::deployment::{ANSWER_LIMIT, ask, hold};
use crate::http::send;

const KEYS: [&str; 2] = [CALLER_KEY, OTHER_KEY];
const PIECES: usize = 5;
const PIECE_BYTES: usize = 400;
/// New prompts appear this often; the others have been asked before.
const NEW_PROMPT: f64 = 0.15;
const TRIES: usize = 4;
/// Callers wait a little when they got no answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts callers that go on until the book says stop.
pub fn spawn(daemons: &[SocketAddr], seed: u64, book: &Rc<RefCell<Book>>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (i, at) in daemons.iter().enumerate() {
        for account in 0..KEYS.len() {
            let rng = StdRng::seed_from_u64(seed ^ (i * KEYS.len() + account + 1) as u64);
            tasks.push(actix_rt::spawn(ask_on((i, *at), account, rng, book.clone())));
        }
        let rng = StdRng::seed_from_u64(seed ^ (100 + i) as u64);
        tasks.push(actix_rt::spawn(hold_on(daemons.to_vec(), i, rng, book.clone())));
    }
    tasks
}

/// Repeats one catalogue per number; the rest after the last piece is the call's own.
fn prompt_of(catalogue: u64, unique: u64) -> String {
    let mut text = format!("catalogue {catalogue}: ").repeat(PIECES * PIECE_BYTES / 12 + 1);
    text.truncate(PIECES * PIECE_BYTES);
    text + &format!(" call {unique}")
}

async fn ask_on(
    (vm, at): (usize, SocketAddr),
    account: usize,
    mut rng: StdRng,
    book: Rc<RefCell<Book>>,
) {
    while !book.borrow().stopped {
        let (catalogue, unique) = {
            let mut book = book.borrow_mut();
            (book.pick_catalogue(&mut rng, NEW_PROMPT), book.next_unique(account))
        };
        let prompt = prompt_of(catalogue, unique);
        let tokens = rng.random_range(3..30);
        let from = Instant::now();
        let reply = ask(at, KEYS[account], &prompt, tokens, rng.random()).await;
        let span = Span { from, to: Instant::now() };
        let call = ModelCall { unique, prompt, tokens, vm, span };
        book.borrow_mut().judge_reply(&call, &reply);
        if !reply.whole {
            actix_rt::time::sleep(PAUSE).await;
        }
    }
}

/// Lets a daemon issue a key for one operation.
async fn issue_key(at: SocketAddr) -> Option<String> {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let got = send(Method::POST, at, "/v1/operation-keys", &headers, "", ANSWER_LIMIT).await;
    if got.status != 200 {
        actix_rt::time::sleep(PAUSE).await;
    }
    got.json::<OperationKeyResponse>().map(|issued| issued.key)
}

async fn hold_on(daemons: Vec<SocketAddr>, first: usize, mut rng: StdRng, book: Rc<RefCell<Book>>) {
    for n in 0.. {
        if book.borrow().stopped {
            return;
        }
        let operation = format!("hold-{first}-{n}");
        let key = match rng.random_range(0..10) {
            0..=3 => None,
            4..=7 => Some(operation.clone()),
            _ => match issue_key(daemons[first]).await {
                Some(key) => Some(key),
                None => continue,
            },
        };
        let header = key.as_ref().map(|key| (IDEMPOTENCY_KEY_HEADER, key.as_str()));
        let headers = header.as_slice();
        let tries = if key.is_some() { rng.random_range(1..=TRIES) } else { 1 };
        for i in 0..tries {
            // Noted before the call, since an aborted caller still counts as one that tried.
            book.borrow_mut().operations.entry(operation.clone()).or_default().begun += 1;
            let vm = (first + i) % daemons.len();
            let from = Instant::now();
            let got = hold(daemons[vm], &operation, headers).await;
            let span = Span { from, to: Instant::now() };
            let answered = got.status != 0 && got.is_complete;
            book.borrow_mut().note_operation(&operation, &got);
            book.borrow_mut().judge_stop(vm, span, got.status != 0, answered);
            match got.status {
                200 if rng.random() => break,
                200 => {}
                _ => actix_rt::time::sleep(PAUSE).await,
            }
        }
    }
}
