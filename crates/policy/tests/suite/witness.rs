//! Tests that the witnesses' reports cover all spendable blocks, for any order of messages.

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{NoteStore, Noted, Notes, majority, merge_reports};
use proptest::prelude::*;

fn budget() -> BudgetId {
    "yard/main".parse().expect("valid budget id")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// The merged reports of any closing include every block that a majority recorded, and no block
    /// gets a majority after a closing. Holds for one and three witnesses, with any messages lost.
    #[test]
    fn merge_reports_covers_every_spendable_block(
        three in any::<bool>(),
        blocks in prop::collection::vec((1..100_u64, any::<[bool; 3]>()), 0..20),
        closing in any::<[bool; 3]>(),
        late in prop::collection::vec((1..100_u64, any::<[bool; 3]>()), 0..10),
    ) {
        let named = if three { 3 } else { 1 };
        let owner = Incarnation::new(1);
        let mut witnesses = vec![NoteStore::default(); named];
        let mut seeded = vec![false; named];
        let (mut notes, mut spendable) = (Notes::default(), Tokens::ZERO);
        let mut send = |witnesses: &mut [NoteStore], amount: u64, reached: [bool; 3]| {
            notes.add(&budget(), &Parts::single(owner, Tokens::new(amount)));
            let mut yes = 0;
            for (index, witness) in witnesses.iter_mut().enumerate() {
                if reached[index] {
                    let noted = witness.note(owner, 1, &notes, !seeded[index]);
                    seeded[index] |= noted == Noted::Yes;
                    yes += usize::from(noted == Noted::Yes);
                }
            }
            (yes >= majority(named), notes.get(&budget(), owner))
        };
        for (amount, reached) in blocks {
            let (cleared, total) = send(&mut witnesses, amount, reached);
            if cleared {
                spendable = total;
            }
        }
        let asked = witnesses.iter_mut().enumerate().filter(|(i, _)| closing[*i]);
        let reports: Vec<_> = asked.map(|(_, w)| w.refuse(owner, 1)).collect();
        let proved = merge_reports(named, &reports);
        if let Some(proved) = &proved {
            prop_assert!(proved.get(&budget(), owner) >= spendable);
        }
        for (amount, reached) in late {
            let (cleared, _) = send(&mut witnesses, amount, reached);
            prop_assert!(!(cleared && proved.is_some()), "a block was cleared after the closing");
        }
    }
}

/// A witness that is named again has missed the blocks spent in between, so its reports must prove
/// nothing until it has received all totals.
#[test]
fn note_unseeded_when_named_again() {
    let owner = Incarnation::new(1);
    let mut witness = NoteStore::default();
    let mut notes = Notes::default();
    notes.add(&budget(), &Parts::single(owner, Tokens::new(5)));
    assert_eq!(witness.note(owner, 1, &notes, true), Noted::Yes);
    assert_eq!(witness.note(owner, 3, &notes, false), Noted::Unseeded);
    assert_eq!(
        witness.note(owner, 1, &notes, true),
        Noted::Unseeded,
        "the note belongs to an earlier epoch"
    );
    let mut other = witness.clone();
    assert!(merge_reports(1, &[other.refuse(owner, 3)]).is_none());
    assert_eq!(witness.note(owner, 3, &notes, true), Noted::Yes);
    assert!(merge_reports(1, &[witness.refuse(owner, 3)]).is_some());
    assert_eq!(witness.note(owner, 4, &notes, true), Noted::Refused);
}
