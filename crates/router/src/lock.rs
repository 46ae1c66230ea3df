//! Mutexes with a fixed lock order.
//!
//! A thread that holds a lock may only acquire one of a higher rank. Debug builds check this at
//! each acquisition, so that a wrong order fails in the first test that reaches it rather than as a
//! rare deadlock.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};

use parking_lot::{Mutex, MutexGuard};

thread_local! {
    static HELD_RANKS: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: u8,
    value: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Creates a mutex; ranks must be unique among locks that a thread may hold together.
    pub const fn new(rank: u8, value: T) -> Self {
        let value = Mutex::new(value);
        Self { rank, value }
    }

    /// Acquires the lock and blocks until it is free.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held| {
                let in_order = held.iter().all(|other| *other < self.rank);
                assert!(
                    in_order,
                    "lock of rank {} acquired while holding ranks {held:?}",
                    self.rank
                );
                held.push(self.rank);
            });
        }
        let rank = self.rank;
        let value = self.value.lock();
        Guard { rank, value }
    }
}

/// Access to the value of a [`RankedMutex`]; the lock is released on drop.
#[derive(Debug)]
pub struct Guard<'a, T> {
    rank: u8,
    value: MutexGuard<'a, T>,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.value
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held| held.retain(|rank| *rank != self.rank));
        }
    }
}
