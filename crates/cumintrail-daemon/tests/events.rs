//! Streamed responses are split into complete events, however their bytes are divided into chunks.

use cumintrail_daemon::events::EventSplitter;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = ProptestConfig { cases: 500, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

#[test]
fn whole_events_come_out_unchanged_whatever_the_cuts() {
    let cuts = prop::collection::vec(1_usize..40, 1..30);
    let line_end = prop::sample::select(vec!["\n", "\r\n", "\r"]);
    let result = runner().run(&(1_u64..20, cuts, line_end), |(count, cuts, line_end)| {
        let text: String = (1..=count).map(event).collect();
        let text = text.replace('\n', line_end);
        let (mut events, mut out, mut rest) =
            (EventSplitter::default(), Vec::new(), text.as_bytes());
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let (now, later) = rest.split_at((*cuts.next().unwrap()).min(rest.len()));
            rest = later;
            let batch = events.push(now);
            prop_assert!(batch.rest.is_ok());
            if batch.count > 0 {
                out.extend_from_slice(&batch.bytes);
                let empty_line = line_end.repeat(2);
                prop_assert!(out.ends_with(empty_line.as_bytes()), "a partial event was emitted");
            }
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(events.last_id(), Some(count));
        Ok(())
    });
    result.unwrap();
}

/// Guards against a stream that is resumed after another event than the last one that its caller has.
#[test]
fn the_id_of_an_event_is_the_one_that_callers_read() {
    let cases = [
        ("id: 1\nid: 2\ndata: a\n\n", 2, 1),
        ("\u{feff}id: 1\ndata: a\n\n", 1, 1),
        ("id:1\rdata: a\r\rid: 2\ndata: b\n\n", 2, 2),
        ("id: 1\ndata: a\r\rid: 2\rdata: b\r\r", 2, 2),
        ("id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n", 2, 2),
        ("id: 1\ndata: a\n\n: comment\n\n", 1, 1),
        ("id: 1\ndata: a\n\n\n\n", 1, 1),
    ];
    for (text, last, count) in cases {
        for at in 0..text.len() {
            let mut events = EventSplitter::default();
            let batches = [&text.as_bytes()[..at], &text.as_bytes()[at..]].map(|b| events.push(b));
            let bytes: Vec<u8> = batches.iter().flat_map(|batch| batch.bytes.to_vec()).collect();
            assert_eq!(bytes, text.as_bytes(), "{text:?} at {at}");
            assert_eq!(batches.iter().map(|batch| batch.count).sum::<usize>(), count, "{text:?}");
            assert_eq!(events.last_id(), Some(last), "{text:?} at {at}");
            assert!(events.can_resume(), "{text:?} at {at}");
        }
    }
    let too_large = "18446744073709551616";
    for id in ["", "x", "-1", "2\0", "2.5", too_large] {
        let mut events = EventSplitter::default();
        events.push((event(1) + &format!("id: {id}\ndata: a\n\n")).as_bytes());
        assert!(!events.can_resume(), "{id:?}");
    }
}

#[test]
fn a_partial_event_of_a_broken_response_is_dropped_and_the_next_attempt_continues() {
    let mut events = EventSplitter::default();
    assert!(events.push((event(1) + "id: 2\nda").as_bytes()).rest.is_ok());
    events.drop_partial();
    assert_eq!(events.last_id(), Some(1));
    let batch = events.push(event(2).as_bytes());
    assert_eq!(batch.bytes, event(2).as_bytes());
}

#[test]
fn a_stream_that_ends_inside_an_event_is_truncated() {
    for rest in ["id", "id: 2\n", "id: 2\ndata: token 2", "id: 2\ndata: token 2\n", ":"] {
        let mut events = EventSplitter::default();
        assert!(events.push((event(1) + rest).as_bytes()).rest.is_ok());
        assert!(events.finish().is_err(), "{rest:?}");
    }
    for rest in ["", "\n", "\r\n"] {
        let mut events = EventSplitter::default();
        let batch = events.push((event(1) + rest).as_bytes());
        assert!(batch.rest.is_ok());
        let passed_on = batch.bytes.len() + events.finish().unwrap().len();
        assert_eq!(passed_on, event(1).len() + rest.len());
    }
}

#[test]
fn an_event_without_end_is_refused_before_it_fills_the_memory() {
    // Some hundred streams of one target at a time, in a tenth of a VM with 110 MB.
    const LIMIT_BYTES: usize = 110_000_000 / 10 / 128;
    let mut events = EventSplitter::default();
    let refused = (0..10_000).find(|_| events.push(&[b'x'; 1_000]).rest.is_err());
    assert!(refused.is_some_and(|chunks| chunks * 1_000 < LIMIT_BYTES), "{refused:?}");
}

#[test]
fn an_event_that_was_passed_on_before_is_refused() {
    let mut events = EventSplitter::resume_after(Some(4));
    let batch = events.push(event(4).as_bytes());
    assert!(batch.rest.is_err() && batch.bytes.is_empty());
    let mut events = EventSplitter::resume_after(Some(4));
    assert!(events.push(event(5).as_bytes()).rest.is_ok());
}

/// Guards against events that count as received although they never left the splitter.
#[test]
fn complete_events_before_a_malformed_one_are_passed_on() {
    let repeated = event(1);
    let oversized = "x".repeat(100_000);
    for malformed in [repeated, oversized] {
        for known in [None, Some(4)] {
            let first = known.unwrap_or(0) + 1;
            let sound = event(first) + &event(first + 1);
            let mut events = EventSplitter::resume_after(known);
            let batch = events.push((sound.clone() + &malformed).as_bytes());
            assert_eq!(batch.bytes, sound.as_bytes());
            assert!(batch.rest.is_err());
            assert_eq!(events.last_id(), Some(first + 1));
            events.drop_partial();
            let next = event(first + 2);
            assert_eq!(events.push(next.as_bytes()).bytes, next.as_bytes());
        }
    }
}

/// Returns whether the events with these ids are passed on, where a further response begins at each
/// `None`, and whether the stream is refused at the last of them.
fn goes_on(taken_up_after: Option<u64>, ids: &[Option<u64>]) -> bool {
    let mut events = EventSplitter::resume_after(taken_up_after);
    let (last, before) = ids.split_last().unwrap();
    for id in before {
        match id {
            None => events.drop_partial(),
            Some(id) => assert!(events.push(event(*id).as_bytes()).rest.is_ok(), "{ids:?}: {id}"),
        }
    }
    let (last_id, text) = (events.last_id(), event(last.unwrap()));
    let batch = events.push(text.as_bytes());
    let (bytes, last_id) = match batch.rest {
        Ok(()) => (text.as_str(), *last),
        Err(_) => ("", last_id),
    };
    assert_eq!((batch.bytes.as_ref(), events.last_id()), (bytes.as_bytes(), last_id), "{ids:?}");
    batch.rest.is_ok()
}

/// Guards against a stream that is resumed after another event than the one asked for, so that its
/// caller lacks events.
#[test]
fn a_resumed_stream_of_consecutive_ids_does_not_skip_an_event() {
    let resumed = None;
    let cases: [(Option<u64>, &[Option<u64>]); 5] = [
        (None, &[Some(1), Some(2), Some(3), resumed, Some(5)]),
        (None, &[Some(7), Some(8), Some(9), resumed, Some(100)]),
        (None, &[Some(1), Some(2), resumed, Some(3), resumed, Some(5)]),
        (None, &[Some(1), resumed, Some(2), resumed, Some(3), resumed, Some(5)]),
        (Some(4), &[resumed, Some(5), Some(6), resumed, Some(8)]),
    ];
    for (taken_up_after, ids) in cases {
        assert!(!goes_on(taken_up_after, ids), "{ids:?} after {taken_up_after:?}");
        let (_, before) = ids.split_last().unwrap();
        let next = before.iter().rev().find_map(|id| *id).unwrap() + 1;
        let sound = [before, &[Some(next)]].concat();
        assert!(goes_on(taken_up_after, &sound), "{sound:?} after {taken_up_after:?}");
    }
}

/// Guards against refused streams of services whose ids only increase.
#[test]
fn a_resumed_stream_whose_ids_need_not_be_consecutive_goes_on() {
    let resumed = None;
    let cases: [(Option<u64>, &[Option<u64>]); 8] = [
        (None, &[Some(10), Some(20), Some(30), resumed, Some(50)]),
        (None, &[Some(1), Some(2), Some(3), Some(5), resumed, Some(8)]),
        (None, &[Some(1), Some(3), Some(4), Some(5), Some(6), resumed, Some(8)]),
        // Within one response, the target alone knows which id is next.
        (None, &[Some(1), Some(2), Some(3), Some(5)]),
        (None, &[Some(1), Some(2), Some(3), resumed, Some(4), Some(6)]),
        // One distance between ids shows no regularity.
        (None, &[Some(1), resumed, Some(3)]),
        (None, &[Some(1), Some(2), resumed, Some(4)]),
        (Some(4), &[resumed, Some(6), Some(7), Some(8), Some(9), resumed, Some(11)]),
    ];
    for (taken_up_after, ids) in cases {
        assert!(goes_on(taken_up_after, ids), "{ids:?} after {taken_up_after:?}");
    }
}

#[test]
fn what_precedes_the_first_id_of_a_resumed_stream_hides_no_missing_event() {
    for prefix in [": comment\n\n", "\n", "data: plain\n\n"] {
        let mut events = EventSplitter::default();
        events.push((1..=3).map(event).collect::<String>().as_bytes());
        events.drop_partial();
        let text = prefix.to_owned() + &event(5);
        let batches: Vec<_> = text.bytes().map(|byte| events.push(&[byte])).collect();
        let passed_on: Vec<u8> = batches.iter().flat_map(|batch| batch.bytes.to_vec()).collect();
        assert_eq!(String::from_utf8_lossy(&passed_on).trim(), prefix.trim());
        assert!(batches.iter().any(|batch| batch.rest.is_err()), "{prefix:?}");
    }
}

#[test]
fn arbitrary_bytes_neither_panic_nor_pile_up() {
    let chunks = prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..50);
    let result = runner().run(&chunks, |chunks| {
        let mut events = EventSplitter::default();
        let (mut received, mut emitted) = (0, 0);
        for chunk in chunks {
            received += chunk.len();
            let batch = events.push(&chunk);
            emitted += batch.bytes.len();
            if batch.rest.is_err() {
                break;
            }
        }
        prop_assert_eq!(emitted + events.remainder_len(), received);
        Ok(())
    });
    result.unwrap();
}
