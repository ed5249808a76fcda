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
const REPACK_INTERVAL: time::Millis = time::Millis::from_secs(1);

slotmap::new_key_type! {
    /// A guaranteed gang.
    pub struct GangKey;
}

/// A part of a unit on one worker.
#[derive(Clone, Debug)]
pub struct Part {
    /// The worker.
    pub worker: usize,
    /// The tasks it has room for.
    pub tasks: u32,
    /// What claims take of it.
    pub used: capacity::Amount,
}

/// One gang of a guarantee.
#[derive(Clone, Debug)]
pub struct Gang {
    /// The account.
    pub account: usize,
    /// The shape.
    pub shape: shape::Shape,
    /// Its place; empty while it can't be packed.
    pub parts: Vec<Part>,
    /// The jobs that claim a part of it.
    pub claimants: u32,
    /// Whether no ticket guarantees it any more; it goes with its last user.
    pub retired: bool,
}

macros::copy_types! {
    /// Tasks that a job takes of one cell of a unit.
    pub struct Claim {
        /// The unit.
        pub gang: GangKey,
        /// The cell's position in the unit.
        pub part: usize,
        /// The tasks.
        pub tasks: u32,
    }
}

/// All guaranteed gangs.
#[derive(Clone, Debug, Default)]
pub struct Guarantees {
    gangs: slotmap::SlotMap<GangKey, Gang>,
    by_account: BTreeMap<usize, BTreeSet<GangKey>>,
    unpacked: BTreeSet<GangKey>,
    repacked: time::Tick,
}

impl Gang {
    /// What the whole cell takes of its worker.
    pub fn amount(&self, part: &Part) -> capacity::Amount {
        capacity::Amount::for_tasks(part.tasks, self.shape.accelerators)
    }
}

impl Guarantees {
    /// The units of an account.
    pub fn of_account(&self, account: usize) -> impl Iterator<Item = (GangKey, &Gang)> {
        let keys = self.by_account.get(&account).into_iter().flatten();
        keys.map(|&key| (key, &self.gangs[key]))
    }

    /// Every unit.
    pub fn all(&self) -> impl Iterator<Item = (GangKey, &Gang)> {
        self.gangs.iter()
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
        let mut keys: Vec<_> = self.gangs.keys().collect();
        keys.sort_by_key(|&key| {
            (self.gangs[key].claimants == 0, self.unpacked.contains(&key), key)
        });
        for key in keys {
            let gang = &self.gangs[key];
            match wanted.get_mut(&(gang.account, gang.shape)) {
                Some(count) if *count > 0 => {
                    *count -= 1;
                    self.gangs[key].retired = false;
                }
                _ => self.retire(fleet, key),
            }
        }
        for ((account, shape), count) in wanted {
            for _ in 0..count {
                let parts = Vec::new();
                let gang = Gang { account, shape, parts, claimants: 0, retired: false };
                let key = self.gangs.insert(gang);
                self.by_account.entry(account).or_default().insert(key);
                self.unpacked.insert(key);
            }
        }
    }

    /// Packs what is missing, moving unused units where that helps. Returns whether anything was
    /// packed.
    pub fn pack_unpacked(&mut self, fleet: &mut fleet::Fleet, now: time::Tick) -> bool {
        if self.unpacked.is_empty() {
            return false;
        }
        let before = self.unpacked.len();
        self.pack_each(fleet);
        let due = self.repacked + REPACK_INTERVAL <= now || self.repacked == time::Tick(0);
        if !self.unpacked.is_empty() && due {
            self.repacked = now;
            self.repack(fleet);
        }
        self.unpacked.len() < before
    }

    /// A worker's usability has changed: units that nobody uses leave an unusable worker.
    pub fn worker_changed(&mut self, fleet: &mut fleet::Fleet, worker: usize) {
        if fleet.usable(worker)
            && fleet.available(worker, capacity::Availability::Reservable).is_non_negative()
        {
            return;
        }
        for key in self.unused_on(worker) {
            self.unpack(fleet, key);
        }
    }

    /// The units without users that have a cell on this worker.
    pub fn unused_on(&self, worker: usize) -> Vec<GangKey> {
        let placed_on = |gang: &Gang| gang.parts.iter().any(|part| part.worker == worker);
        self.gangs
            .iter()
            .filter(|(_, gang)| gang.claimants == 0 && placed_on(gang))
            .map(|(key, _)| key)
            .collect()
    }

    /// Which cells of a unit would take the shape, whole. No check of what lent work holds there.
    pub fn claims(
        &self,
        fleet: &fleet::Fleet,
        key: GangKey,
        service: usize,
        shape: shape::Shape,
    ) -> Option<Vec<Claim>> {
        let gang = &self.gangs[key];
        let close_enough = shape.tasks == 1 || gang.shape.adjacency >= shape.adjacency;
        if gang.retired || !close_enough {
            return None;
        }
        let mut claims = Vec::new();
        let left = self.claim_from(fleet, key, service, shape, shape.tasks, &mut claims);
        (left == 0).then_some(claims)
    }

    /// The same over all units of an account, for shapes that may lie anywhere in the cell.
    pub fn claims_across(
        &self,
        fleet: &fleet::Fleet,
        account: usize,
        service: usize,
        shape: shape::Shape,
    ) -> Option<Vec<Claim>> {
        if shape.adjacency != shape::Adjacency::Cell {
            return None;
        }
        let mut claims = Vec::new();
        let mut left = shape.tasks;
        for &key in self.by_account.get(&account)? {
            if !self.gangs[key].retired && left > 0 {
                left = self.claim_from(fleet, key, service, shape, left, &mut claims);
            }
        }
        (left == 0).then_some(claims)
    }

    /// The place that picks stand for.
    pub fn placement(&self, claims: &[Claim]) -> fit::Placement {
        let mut placement = BTreeMap::new();
        for claim in claims {
            *placement.entry(self.gangs[claim.gang].parts[claim.part].worker).or_default() +=
                claim.tasks;
        }
        placement.into_iter().collect()
    }

    /// Lets a job claim picks.
    pub fn claim(&mut self, claims: &[Claim], accelerators: u32) {
        for claim in claims {
            let part = &mut self.gangs[claim.gang].parts[claim.part];
            part.used = part.used.plus(capacity::Amount::for_tasks(claim.tasks, accelerators));
        }
        for key in gangs_of(claims) {
            self.gangs[key].claimants += 1;
        }
    }

    /// Gives the picks of a job back.
    pub fn unclaim(&mut self, fleet: &mut fleet::Fleet, claims: &[Claim], accelerators: u32) {
        for claim in claims {
            let part = &mut self.gangs[claim.gang].parts[claim.part];
            part.used = part.used.minus(capacity::Amount::for_tasks(claim.tasks, accelerators));
        }
        for key in gangs_of(claims) {
            self.gangs[key].claimants -= 1;
            if self.gangs[key].claimants == 0 {
                self.vacate_if_unusable(fleet, key);
            }
        }
    }

    /// Moves an unused unit to a place that has room for it. The whole unit can then be claimed.
    pub fn move_to(&mut self, fleet: &mut fleet::Fleet, key: GangKey, placement: &fit::Placement) {
        self.unpack(fleet, key);
        self.pack_at(fleet, key, placement);
    }

    /// The units that have no place now.
    pub fn unpacked(&self) -> impl Iterator<Item = &Gang> {
        self.unpacked.iter().map(|&key| &self.gangs[key])
    }

    /// Takes unused units out of the way of a place, by `wanted` on each of its workers, and packs
    /// them elsewhere. Returns whether that worked; if not, nothing has changed.
    pub fn move_away(
        &mut self,
        fleet: &mut fleet::Fleet,
        placement: &fit::Placement,
        accelerators: u32,
    ) -> bool {
        let mut moved = Vec::new();
        for &(worker, _) in placement {
            for key in self.unused_on(worker) {
                moved.push((key, self.placement_of(key)));
                self.unpack(fleet, key);
            }
        }
        add_nonpreemptible(fleet, placement, accelerators, 1);
        let covered =
            |worker| fleet.available(worker, capacity::Availability::Reservable).is_non_negative();
        let fits = placement.iter().all(|&(worker, _)| covered(worker));
        moved.sort_by_key(|(key, _)| (feasible::hardness(self.gangs[*key].shape), *key));
        let packed = fits && moved.iter().all(|(key, _)| self.pack(fleet, *key));
        add_nonpreemptible(fleet, placement, accelerators, -1);
        if !packed {
            for (key, placement) in moved {
                self.move_to(fleet, key, &placement);
            }
        }
        packed
    }

    fn placement_of(&self, key: GangKey) -> fit::Placement {
        self.gangs[key].parts.iter().map(|part| (part.worker, part.tasks)).collect()
    }

    fn claim_from(
        &self,
        fleet: &fleet::Fleet,
        key: GangKey,
        service: usize,
        shape: shape::Shape,
        wanted: u32,
        claims: &mut Vec<Claim>,
    ) -> u32 {
        let gang = &self.gangs[key];
        let mut left = wanted;
        for (index, part) in gang.parts.iter().enumerate() {
            if !fleet.usable(part.worker) || !fleet.offers(part.worker, Some(service)) {
                continue;
            }
            let available = gang.amount(part).minus(part.used).max_tasks(shape.accelerators);
            let tasks = available.min(left);
            if tasks > 0 {
                claims.push(Claim { gang: key, part: index, tasks });
                left -= tasks;
            }
        }
        left
    }

    fn retire(&mut self, fleet: &mut fleet::Fleet, key: GangKey) {
        self.gangs[key].retired = true;
        if self.gangs[key].claimants == 0 {
            self.remove_gang(fleet, key);
        }
    }

    /// A unit has lost its last user: it goes, moves or stays.
    fn vacate_if_unusable(&mut self, fleet: &mut fleet::Fleet, key: GangKey) {
        if self.gangs[key].retired {
            self.remove_gang(fleet, key);
        } else if self.gangs[key].parts.iter().any(|part| !fleet.usable(part.worker)) {
            self.unpack(fleet, key);
        }
    }

    fn remove_gang(&mut self, fleet: &mut fleet::Fleet, key: GangKey) {
        self.unpack(fleet, key);
        self.unpacked.remove(&key);
        let gang = self.gangs.remove(key);
        let account = gang.and_then(|gang| self.by_account.get_mut(&gang.account));
        if let Some(keys) = account {
            keys.remove(&key);
        }
    }

    fn unpack(&mut self, fleet: &mut fleet::Fleet, key: GangKey) {
        let gang = &mut self.gangs[key];
        let parts = std::mem::take(&mut gang.parts);
        for part in parts {
            let amount = gang.amount(&part);
            fleet.change(part.worker, |worker| worker.reserved = worker.reserved.minus(amount));
        }
        self.unpacked.insert(key);
    }

    fn pack(&mut self, fleet: &mut fleet::Fleet, key: GangKey) -> bool {
        match feasible::reservable(fleet, self.gangs[key].shape) {
            Some(placement) => {
                self.pack_at(fleet, key, &placement);
                true
            }
            None => false,
        }
    }

    fn pack_at(&mut self, fleet: &mut fleet::Fleet, key: GangKey, placement: &fit::Placement) {
        let gang = &mut self.gangs[key];
        for &(worker, tasks) in placement {
            let part = Part { worker, tasks, used: capacity::Amount::default() };
            let amount = gang.amount(&part);
            fleet.change(worker, |worker| worker.reserved = worker.reserved.plus(amount));
            gang.parts.push(part);
        }
        if !placement.is_empty() {
            self.unpacked.remove(&key);
        }
    }

    fn pack_each(&mut self, fleet: &mut fleet::Fleet) {
        for key in self.hardest_first(&self.unpacked) {
            self.pack(fleet, key);
        }
    }

    /// Packs all unused units anew, and goes back to the old packing where that is no better.
    fn repack(&mut self, fleet: &mut fleet::Fleet) {
        let unused: BTreeSet<_> =
            self.gangs.iter().filter(|(_, gang)| gang.claimants == 0).map(|(key, _)| key).collect();
        let old: Vec<_> = unused.iter().map(|&key| (key, self.placement_of(key))).collect();
        let unpacked = self.unpacked.len();
        for &key in &unused {
            self.unpack(fleet, key);
        }
        self.pack_each(fleet);
        if self.unpacked.len() < unpacked {
            return;
        }
        for &key in &unused {
            self.unpack(fleet, key);
        }
        for (key, placement) in old {
            self.pack_at(fleet, key, &placement);
        }
    }

    fn hardest_first(&self, keys: &BTreeSet<GangKey>) -> Vec<GangKey> {
        let mut keys: Vec<_> = keys.iter().copied().collect();
        keys.sort_by_key(|&key| (feasible::hardness(self.gangs[key].shape), key));
        keys
    }
}

fn gangs_of(claims: &[Claim]) -> BTreeSet<GangKey> {
    claims.iter().map(|claim| claim.gang).collect()
}

fn add_nonpreemptible(
    fleet: &mut fleet::Fleet,
    placement: &fit::Placement,
    accelerators: u32,
    sign: i64,
) {
    for &(worker, tasks) in placement {
        let amount = capacity::Amount::for_tasks(tasks, accelerators);
        fleet.change(worker, |worker| {
            worker.nonpreemptible = match sign {
                1 => worker.nonpreemptible.plus(amount),
                _ => worker.nonpreemptible.minus(amount),
            };
        });
    }
}
