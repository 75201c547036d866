//! The experiment tool returns equal results for equal seeds, and the policy `Ours` performs better
//! than the naive policies.

use cumintrail_tests::experiment::{self, Measures, Policy, Preset, Scenario, Setup, Size};

fn measure(scenario: Scenario, policies: &[Policy]) -> Vec<Measures> {
    let setup =
        Setup { seed: 1, scenario, size: Size::Kesong, scale: 1, preset: Preset::FirstToken };
    experiment::run(&setup, policies)
}

#[test]
fn equal_seeds_give_equal_measures() {
    let text = || format!("{:?}", measure(Scenario::StoreLost, &[Policy::Ours]));
    assert_eq!(text(), text());
}

#[test]
fn ours_gives_earlier_first_tokens_than_naive_policies_in_a_rush() {
    let naive = [Policy::LeastLoaded, Policy::Affinity, Policy::AlwaysFetch];
    let ours = measure(Scenario::MonthEnd, &[Policy::Ours]);
    for other in measure(Scenario::MonthEnd, &naive) {
        assert!(ours[0].first_token_ms.p95 < other.first_token_ms.p95, "{ours:?} {other:?}");
        if other.policy == Policy::AlwaysFetch {
            assert!(ours[0].link_bytes < other.link_bytes, "{ours:?} {other:?}");
        } else {
            assert!(ours[0].recomputed_share < other.recomputed_share, "{ours:?} {other:?}");
        }
        let small = other.worst_small_account_p95_ms;
        assert!(ours[0].worst_small_account_p95_ms < small, "{ours:?} {other:?}");
    }
    assert_eq!(ours[0].refused, 0);
}

#[test]
fn small_accounts_are_kept_apart_from_a_flood() {
    let measures = measure(Scenario::Flood, &[Policy::Ours, Policy::Affinity]);
    let [ours, naive] = [0, 1].map(|i| measures[i].worst_small_account_p95_ms);
    assert!(ours < naive / 3.0, "{measures:?}");
    assert!(measures[0].first_token_ms.p95 < measures[1].first_token_ms.p95, "{measures:?}");
    assert!(measures[0].refused < measures[1].refused, "{measures:?}");
}
