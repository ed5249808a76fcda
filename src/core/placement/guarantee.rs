//! Guarantees, held by a packing that always exists.
//!
//! Each guaranteed gang is a [`Unit`] with a place of its own: cells on workers, reserved there.
//! On each worker, what is reserved and what unstoppable outside work holds never exceed what it
//! has. So all guarantees pack at every moment, and the check is local to a worker. What a unit
//! does not use is lent to work that can be stopped. Units that nobody uses move freely.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::account;
use crate::core::placement::capacity;
use crate::core::placement::catalog;
use crate::core::placement::feasible;
use crate::core::placement::fit;
use crate::core::placement::fleet;
use crate::core::shape;
use crate::core::time;
use crate::macros;

/// The least time between two attempts to pack all unused units anew.
const REPACK_PAUSE: time::Millis = time::Millis::from_secs(1);

slotmap::new_key_type! {
    /// A guaranteed gang.
    pub struct UnitKey;
}

/// A part of a unit on one worker.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The worker.
    pub worker: usize,
    /// The tasks it has room for.
    pub tasks: u32,
    /// What claims take of it.
    pub used: capacity::Amount,
}

/// One gang of a guarantee.
#[derive(Clone, Debug)]
pub struct Unit {
    /// The account.
    pub account: usize,
    /// The shape.
    pub shape: shape::Shape,
    /// Its place; empty while it can't be packed.
    pub cells: Vec<Cell>,
    /// The jobs that claim a part of it.
    pub users: u32,
    /// Whether no ticket guarantees it any more; it goes with its last user.
    pub retired: bool,
}

macros::copy_types! {
    /// Tasks that a job takes of one cell of a unit.
    pub struct Pick {
        /// The unit.
        pub unit: UnitKey,
        /// The cell's position in the unit.
        pub cell: usize,
        /// The tasks.
        pub tasks: u32,
    }
}

/// All guaranteed gangs.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    units: slotmap::SlotMap<UnitKey, Unit>,
    by_account: BTreeMap<usize, BTreeSet<UnitKey>>,
    missing: BTreeSet<UnitKey>,
    repacked: time::Tick,
}

impl Unit {
    /// What the whole cell takes of its worker.
    pub fn amount(&self, cell: &Cell) -> capacity::Amount {
        capacity::Amount::of(cell.tasks, self.shape.accelerators)
    }
}

impl Reserve {
    /// The units of an account.
    pub fn of(&self, account: usize) -> impl Iterator<Item = (UnitKey, &Unit)> {
        let keys = self.by_account.get(&account).into_iter().flatten();
        keys.map(|&key| (key, &self.units[key]))
    }

    /// Every unit.
    pub fn all(&self) -> impl Iterator<Item = (UnitKey, &Unit)> {
        self.units.iter()
    }

    /// Takes the guarantees of a configuration over. Units that stay keep their place.
    pub fn configure(
        &mut self,
        fleet: &mut fleet::Fleet,
        catalog: &mut catalog::Catalog,
        config: &account::Config,
    ) {
        let mut wanted = BTreeMap::<(usize, shape::Shape), u32>::new();
        for (account, guarantee) in feasible::hardest_first(config) {
            let account = catalog.account(account);
            *wanted.entry((account, guarantee.shape)).or_default() += guarantee.count;
        }
        let mut keys: Vec<_> = self.units.keys().collect();
        keys.sort_by_key(|&key| (self.units[key].users == 0, self.missing.contains(&key), key));
        for key in keys {
            let unit = &self.units[key];
            match wanted.get_mut(&(unit.account, unit.shape)) {
                Some(count) if *count > 0 => {
                    *count -= 1;
                    self.units[key].retired = false;
                }
                _ => self.retire(fleet, key),
            }
        }
        for ((account, shape), count) in wanted {
            for _ in 0..count {
                let cells = Vec::new();
                let unit = Unit { account, shape, cells, users: 0, retired: false };
                let key = self.units.insert(unit);
                self.by_account.entry(account).or_default().insert(key);
                self.missing.insert(key);
            }
        }
    }

    /// Packs what is missing, moving unused units where that helps. Returns whether anything was
    /// packed.
    pub fn pack_missing(&mut self, fleet: &mut fleet::Fleet, now: time::Tick) -> bool {
        if self.missing.is_empty() {
            return false;
        }
        let before = self.missing.len();
        self.pack_each(fleet);
        let due = self.repacked + REPACK_PAUSE <= now || self.repacked == time::Tick(0);
        if !self.missing.is_empty() && due {
            self.repacked = now;
            self.repack(fleet);
        }
        self.missing.len() < before
    }

    /// A worker's usability has changed: units that nobody uses leave an unusable worker.
    pub fn worker_changed(&mut self, fleet: &mut fleet::Fleet, worker: usize) {
        if fleet.usable(worker) && fleet.room(worker, capacity::Room::Reservable).covered() {
            return;
        }
        for key in self.unused_on(worker) {
            self.unpack(fleet, key);
        }
    }

    /// The units without users that have a cell on this worker.
    pub fn unused_on(&self, worker: usize) -> Vec<UnitKey> {
        let on = |unit: &Unit| unit.cells.iter().any(|cell| cell.worker == worker);
        self.units
            .iter()
            .filter(|(_, unit)| unit.users == 0 && on(unit))
            .map(|(key, _)| key)
            .collect()
    }

    /// Which cells of a unit would take the shape, whole. No check of what lent work holds there.
    pub fn picks(
        &self,
        fleet: &fleet::Fleet,
        key: UnitKey,
        service: usize,
        shape: shape::Shape,
    ) -> Option<Vec<Pick>> {
        let unit = &self.units[key];
        let tight = shape.tasks == 1 || unit.shape.adjacency >= shape.adjacency;
        if unit.retired || !tight {
            return None;
        }
        let mut picks = Vec::new();
        let left = self.pick_into(fleet, key, service, shape, shape.tasks, &mut picks);
        (left == 0).then_some(picks)
    }

    /// The same over all units of an account, for shapes that may lie anywhere in the cell.
    pub fn picks_across(
        &self,
        fleet: &fleet::Fleet,
        account: usize,
        service: usize,
        shape: shape::Shape,
    ) -> Option<Vec<Pick>> {
        if shape.adjacency != shape::Adjacency::Cell {
            return None;
        }
        let mut picks = Vec::new();
        let mut left = shape.tasks;
        for &key in self.by_account.get(&account)? {
            if !self.units[key].retired && left > 0 {
                left = self.pick_into(fleet, key, service, shape, left, &mut picks);
            }
        }
        (left == 0).then_some(picks)
    }

    /// The place that picks stand for.
    pub fn place(&self, picks: &[Pick]) -> fit::Place {
        let mut place = BTreeMap::new();
        for pick in picks {
            *place.entry(self.units[pick.unit].cells[pick.cell].worker).or_default() += pick.tasks;
        }
        place.into_iter().collect()
    }

    /// Lets a job claim picks.
    pub fn claim(&mut self, picks: &[Pick], accelerators: u32) {
        for pick in picks {
            let cell = &mut self.units[pick.unit].cells[pick.cell];
            cell.used = cell.used.plus(capacity::Amount::of(pick.tasks, accelerators));
        }
        for key in units_of(picks) {
            self.units[key].users += 1;
        }
    }

    /// Gives the picks of a job back.
    pub fn unclaim(&mut self, fleet: &mut fleet::Fleet, picks: &[Pick], accelerators: u32) {
        for pick in picks {
            let cell = &mut self.units[pick.unit].cells[pick.cell];
            cell.used = cell.used.minus(capacity::Amount::of(pick.tasks, accelerators));
        }
        for key in units_of(picks) {
            self.units[key].users -= 1;
            if self.units[key].users == 0 {
                self.settle(fleet, key);
            }
        }
    }

    /// Moves an unused unit to a place that has room for it. The whole unit can then be claimed.
    pub fn move_to(&mut self, fleet: &mut fleet::Fleet, key: UnitKey, place: &fit::Place) {
        self.unpack(fleet, key);
        self.pack_at(fleet, key, place);
    }

    /// The units that have no place now.
    pub fn missing(&self) -> impl Iterator<Item = &Unit> {
        self.missing.iter().map(|&key| &self.units[key])
    }

    /// Takes unused units out of the way of a place, by `wanted` on each of its workers, and packs
    /// them elsewhere. Returns whether that worked; if not, nothing has changed.
    pub fn clear_way(
        &mut self,
        fleet: &mut fleet::Fleet,
        place: &fit::Place,
        accelerators: u32,
    ) -> bool {
        let mut moved = Vec::new();
        for &(worker, _) in place {
            for key in self.unused_on(worker) {
                moved.push((key, self.place_of(key)));
                self.unpack(fleet, key);
            }
        }
        add_pinned(fleet, place, accelerators, 1);
        let room = |worker| fleet.room(worker, capacity::Room::Reservable).covered();
        let fits = place.iter().all(|&(worker, _)| room(worker));
        moved.sort_by_key(|(key, _)| (feasible::hardness(self.units[*key].shape), *key));
        let packed = fits && moved.iter().all(|(key, _)| self.pack(fleet, *key));
        add_pinned(fleet, place, accelerators, -1);
        if !packed {
            for (key, place) in moved {
                self.move_to(fleet, key, &place);
            }
        }
        packed
    }

    fn place_of(&self, key: UnitKey) -> fit::Place {
        self.units[key].cells.iter().map(|cell| (cell.worker, cell.tasks)).collect()
    }

    fn pick_into(
        &self,
        fleet: &fleet::Fleet,
        key: UnitKey,
        service: usize,
        shape: shape::Shape,
        wanted: u32,
        picks: &mut Vec<Pick>,
    ) -> u32 {
        let unit = &self.units[key];
        let mut left = wanted;
        for (index, cell) in unit.cells.iter().enumerate() {
            if !fleet.usable(cell.worker) || !fleet.offers(cell.worker, Some(service)) {
                continue;
            }
            let room = unit.amount(cell).minus(cell.used).tasks(shape.accelerators);
            let tasks = room.min(left);
            if tasks > 0 {
                picks.push(Pick { unit: key, cell: index, tasks });
                left -= tasks;
            }
        }
        left
    }

    fn retire(&mut self, fleet: &mut fleet::Fleet, key: UnitKey) {
        self.units[key].retired = true;
        if self.units[key].users == 0 {
            self.drop_unit(fleet, key);
        }
    }

    /// A unit has lost its last user: it goes, moves or stays.
    fn settle(&mut self, fleet: &mut fleet::Fleet, key: UnitKey) {
        if self.units[key].retired {
            self.drop_unit(fleet, key);
        } else if self.units[key].cells.iter().any(|cell| !fleet.usable(cell.worker)) {
            self.unpack(fleet, key);
        }
    }

    fn drop_unit(&mut self, fleet: &mut fleet::Fleet, key: UnitKey) {
        self.unpack(fleet, key);
        self.missing.remove(&key);
        let unit = self.units.remove(key);
        let account = unit.and_then(|unit| self.by_account.get_mut(&unit.account));
        if let Some(keys) = account {
            keys.remove(&key);
        }
    }

    fn unpack(&mut self, fleet: &mut fleet::Fleet, key: UnitKey) {
        let unit = &mut self.units[key];
        let cells = std::mem::take(&mut unit.cells);
        for cell in cells {
            let amount = unit.amount(&cell);
            fleet.change(cell.worker, |worker| worker.reserved = worker.reserved.minus(amount));
        }
        self.missing.insert(key);
    }

    fn pack(&mut self, fleet: &mut fleet::Fleet, key: UnitKey) -> bool {
        match feasible::reservable(fleet, self.units[key].shape) {
            Some(place) => {
                self.pack_at(fleet, key, &place);
                true
            }
            None => false,
        }
    }

    fn pack_at(&mut self, fleet: &mut fleet::Fleet, key: UnitKey, place: &fit::Place) {
        let unit = &mut self.units[key];
        for &(worker, tasks) in place {
            let cell = Cell { worker, tasks, used: capacity::Amount::default() };
            let amount = unit.amount(&cell);
            fleet.change(worker, |worker| worker.reserved = worker.reserved.plus(amount));
            unit.cells.push(cell);
        }
        if !place.is_empty() {
            self.missing.remove(&key);
        }
    }

    fn pack_each(&mut self, fleet: &mut fleet::Fleet) {
        for key in self.hardest_first(&self.missing) {
            self.pack(fleet, key);
        }
    }

    /// Packs all unused units anew, and goes back to the old packing where that is no better.
    fn repack(&mut self, fleet: &mut fleet::Fleet) {
        let unused: BTreeSet<_> =
            self.units.iter().filter(|(_, unit)| unit.users == 0).map(|(key, _)| key).collect();
        let old: Vec<_> = unused.iter().map(|&key| (key, self.place_of(key))).collect();
        let missing = self.missing.len();
        for &key in &unused {
            self.unpack(fleet, key);
        }
        self.pack_each(fleet);
        if self.missing.len() < missing {
            return;
        }
        for &key in &unused {
            self.unpack(fleet, key);
        }
        for (key, place) in old {
            self.pack_at(fleet, key, &place);
        }
    }

    fn hardest_first(&self, keys: &BTreeSet<UnitKey>) -> Vec<UnitKey> {
        let mut keys: Vec<_> = keys.iter().copied().collect();
        keys.sort_by_key(|&key| (feasible::hardness(self.units[key].shape), key));
        keys
    }
}

fn units_of(picks: &[Pick]) -> BTreeSet<UnitKey> {
    picks.iter().map(|pick| pick.unit).collect()
}

fn add_pinned(fleet: &mut fleet::Fleet, place: &fit::Place, accelerators: u32, sign: i64) {
    for &(worker, tasks) in place {
        let amount = capacity::Amount::of(tasks, accelerators);
        fleet.change(worker, |worker| {
            worker.pinned = match sign {
                1 => worker.pinned.plus(amount),
                _ => worker.pinned.minus(amount),
            };
        });
    }
}
