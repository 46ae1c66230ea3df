//! Locks with a stated order.
//!
//! A thread that holds a lock may only take one of a higher rank. Debug builds check it at each
//! lock, so that a wrong order fails in the first test that reaches it, not as a rare deadlock.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};

use parking_lot::{Mutex, MutexGuard};

thread_local! {
    static HELD: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A table behind a lock of a given rank.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: u8,
    table: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Wraps a table.
    pub const fn new(rank: u8, table: T) -> Self {
        let table = Mutex::new(table);
        Self { rank, table }
    }

    /// Locks the table.
    ///
    /// # Panics
    ///
    /// In debug builds, when the thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            HELD.with_borrow_mut(|held| {
                let free = held.iter().all(|other| *other < self.rank);
                assert!(free, "rank {} is locked after {held:?}", self.rank);
                held.push(self.rank);
            });
        }
        let rank = self.rank;
        let table = self.table.lock();
        Guard { rank, table }
    }
}

/// A locked table.
#[derive(Debug)]
pub struct Guard<'a, T> {
    rank: u8,
    table: MutexGuard<'a, T>,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.table
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.table
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD.with_borrow_mut(|held| held.retain(|rank| *rank != self.rank));
        }
    }
}
