//! Tests for the scheduler of one shard: which engine reads which prompt, and who is refused.

mod engines;

use std::time::Duration;

use fescue_policy::scheduling::{Member, Saturated, Scheduler, Work, owner, shard_of, shards};

use engines::{Kind, Load, Shard};

const MEMORY: u64 = 500_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn members(count: u64) -> Vec<Member> {
    let member = |hash| Member {
        hash,
        slots: 64,
        memory: MEMORY,
    };
    (100..100 + count).map(member).collect()
}

fn work(id: u64, input: u64) -> Work {
    Work {
        id,
        prefix: None,
        shared: 0,
        input,
        output: 100,
        rank: 1,
        team: 1,
        target: ms(400),
        deadline: ms(10_000),
    }
}

/// Prompts that share a prefix would be read in full at several engines although one has time for all.
#[test]
fn place_keeps_a_prefix_at_one_engine_while_it_is_idle() {
    let (mut scheduler, members) = (Scheduler::default(), members(8));
    let first = owner(7, members.iter().map(|member| member.hash));
    for id in 0..20 {
        let at = ms(id * 500);
        let work = Work {
            prefix: Some(7),
            shared: 200,
            ..work(id, 800)
        };
        let placed = scheduler.place(&work, &members, at).expect("all are idle");
        assert_eq!(Some(placed.member), first);
        scheduler.record_begun(id, at + ms(60));
        scheduler.record_ended(id, at + ms(300));
    }
}

/// A short prompt would wait behind a long one of another router for longer than its target.
#[test]
fn place_avoids_an_engine_that_reads_a_long_prompt() {
    let (mut scheduler, members) = (Scheduler::default(), members(8));
    let long = Work {
        prefix: Some(7),
        target: ms(1000),
        ..work(1, 40_000)
    };
    let busy = scheduler
        .place(&long, &members, ms(0))
        .expect("all are idle");
    let short = Work {
        prefix: Some(7),
        ..work(2, 600)
    };
    let placed = scheduler
        .place(&short, &members, ms(100))
        .expect("seven are idle");
    assert_ne!(placed.member, busy.member);
    scheduler.record_begun(1, ms(900));
    let short = Work { id: 3, ..short };
    let placed = scheduler
        .place(&short, &members, ms(901))
        .expect("all are idle");
    assert_eq!(placed.member, busy.member);
}

/// The backlog of an engine that stands still would shrink with time, and it would get prompts again.
#[test]
fn place_avoids_an_engine_that_is_overdue() {
    let (mut scheduler, members) = (Scheduler::default(), members(2));
    let long = work(1, 10_000);
    let stuck = scheduler
        .place(&long, &members, ms(0))
        .expect("all are idle");
    for (id, at) in [(2, 700), (3, 1000), (4, 1500)] {
        let placed = scheduler
            .place(&work(id, 600), &members, ms(at))
            .expect("one is idle");
        assert_ne!(placed.member, stuck.member, "at {at} ms");
        scheduler.record_begun(id, ms(at + 50));
        scheduler.record_ended(id, ms(at + 60));
    }
}

/// An engine whose only report was lost would be avoided for good.
#[test]
fn place_uses_an_engine_again_whose_report_was_lost() {
    let (mut scheduler, members) = (Scheduler::default(), members(1));
    let lost = work(1, 10_000);
    scheduler.place(&lost, &members, ms(0)).expect("it is idle");
    let placed = scheduler
        .place(&work(2, 600), &members, ms(4000))
        .expect("it is idle");
    assert!(placed.expected < ms(100), "{placed:?}");
    scheduler
        .place(&work(3, 600), &members, ms(20_000))
        .expect("it is idle");
    assert_eq!(scheduler.running(), 1);
}

/// An engine crashes if the requests that it holds exceed its memory.
#[test]
fn place_keeps_within_the_memory_of_engines() {
    let (mut scheduler, members) = (Scheduler::default(), members(2));
    let large = |id| Work {
        target: ms(60_000),
        deadline: ms(60_000),
        ..work(id, 300_000)
    };
    let first = scheduler
        .place(&large(1), &members, ms(0))
        .expect("there is room");
    scheduler.record_begun(1, ms(10));
    let smaller = Work {
        input: 250_000,
        ..large(2)
    };
    let second = scheduler
        .place(&smaller, &members, ms(20))
        .expect("there is room");
    assert_ne!(first.member, second.member);
    let third = scheduler
        .place(&large(3), &members, ms(30))
        .expect("it fits an empty engine");
    assert_eq!(third.member, second.member, "it has more room");
    let oversized = Work {
        input: MEMORY,
        ..large(4)
    };
    assert!(scheduler.place(&oversized, &members, ms(40)).is_err());
}

/// A request that can't begin before its deadline would wait for nothing.
#[test]
fn place_refuses_at_once_what_cannot_begin_in_time() {
    let (mut scheduler, members) = (Scheduler::default(), members(1));
    let long = work(1, 200_000);
    scheduler.place(&long, &members, ms(0)).expect("it is idle");
    let urgent = Work {
        deadline: ms(1000),
        ..work(2, 600)
    };
    let refused = scheduler.place(&urgent, &members, ms(0));
    let Err(Saturated { wait }) = refused else {
        panic!("placed behind a prompt of 4 s: {refused:?}");
    };
    assert!(wait > ms(1000) && wait < ms(5000), "{wait:?}");
}

/// Routers would ask different homes if they assigned engines to shards differently.
#[test]
fn shards_divide_engines_evenly() {
    for (engines, expected) in [(0, 1), (12, 1), (60, 4), (140, 8), (2000, 128)] {
        assert_eq!(shards(engines), expected, "{engines} engines");
    }
    let mut counts = [0; 8];
    for member in 0..1600 {
        counts[shard_of(member, 8) as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (140..260).contains(count)),
        "{counts:?}"
    );
}

/// Load: long prompts (6,610 tokens, at most 54,600) beside short ones, on engines that are used to a fifth.
/// Short prompts stand behind long ones if engines are chosen by the prefix alone.
#[test]
fn load_long_prompts_beside_short_ones() {
    let by_prefix = Shard::open(1).run(Load::calm().by_prefix());
    let scheduled = Shard::open(1).run(Load::calm());
    assert!(by_prefix.in_time(Kind::Narration) < 0.95, "{by_prefix:?}");
    assert!(scheduled.in_time(Kind::Narration) >= 0.95, "{scheduled:?}");
    assert!(scheduled.in_time(Kind::Hint) >= 0.95, "{scheduled:?}");
    assert!(scheduled.in_time(Kind::Review) >= 0.82, "{scheduled:?}");
    assert!(scheduled.in_time(Kind::Review) >= by_prefix.in_time(Kind::Review));
}

/// The same load while one in ten reports is lost, and reports arrive 20 ms late.
#[test]
fn load_long_prompts_with_lost_and_late_reports() {
    let seen = Shard::open(2).run(Load::calm().with_lost_reports(0.1).with_delay(ms(20)));
    assert!(seen.in_time(Kind::Narration) >= 0.95, "{seen:?}");
    assert!(seen.in_time(Kind::Hint) >= 0.95, "{seen:?}");
    assert!(seen.in_time(Kind::Review) >= 0.82, "{seen:?}");
}

/// The same load while the home changes each 2 s, to a router that knows nothing.
#[test]
fn load_long_prompts_while_homes_change() {
    let seen = Shard::open(3).run(Load::calm().with_new_home(ms(2000)));
    assert!(seen.in_time(Kind::Narration) >= 0.95, "{seen:?}");
    assert!(seen.in_time(Kind::Hint) >= 0.95, "{seen:?}");
    assert!(seen.in_time(Kind::Review) >= 0.82, "{seen:?}");
}

/// The same load while two of the engines read at a fifth of their speed.
#[test]
fn load_long_prompts_with_slowed_engines() {
    let by_prefix = Shard::open(4).slowed(2, 0.2).run(Load::calm().by_prefix());
    let seen = Shard::open(4).slowed(2, 0.2).run(Load::calm());
    assert!(by_prefix.in_time(Kind::Hint) < 0.9, "{by_prefix:?}");
    assert!(seen.in_time(Kind::Narration) >= 0.95, "{seen:?}");
    assert!(seen.in_time(Kind::Hint) >= 0.95, "{seen:?}");
}

/// Load: three times what the engines can read, with a team that sends most of it. The urgent requests are
/// served in time, the large team takes no more than the others leave, and what is refused is refused at once.
#[test]
fn load_three_times_what_engines_read() {
    let seen = Shard::open(5).run(Load::calm().times(14.0));
    assert!(seen.in_time(Kind::Narration) >= 0.9, "{seen:?}");
    assert!(
        seen.in_time(Kind::Narration) > seen.in_time(Kind::Review),
        "{seen:?}"
    );
    assert!(seen.served_small >= seen.served_large, "{seen:?}");
    assert!(seen.refused > 0, "{seen:?}");
}
