//! Guarantees, kept as a packing that exists at every moment.
//!
//! Each guaranteed gang is a [`Gang`] with parts on workers, for which capacity is reserved there.
//! On each worker, the reserved capacity and that of non-preemptible jobs outside of guarantees
//! together never exceed the total. All guarantees therefore pack at every moment, and the check is
//! local to a worker. Capacity that a gang does not use is available to preemptible jobs. A gang
//! without claims can be moved freely.

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

/// Minimum time between two attempts to repack all unclaimed gangs.
const REPACK_INTERVAL: time::Millis = time::Millis::from_secs(1);

slotmap::new_key_type! {
    /// Key of a guaranteed gang.
    pub struct GangKey;
}

/// A part of a gang on one worker.
#[derive(Clone, Debug)]
pub struct Part {
    /// Position of the worker in the fleet.
    pub worker: usize,
    /// Number of tasks that the part has capacity for.
    pub tasks: u32,
    /// Capacity that claims take of the part.
    pub used: capacity::Amount,
}

/// One gang of a guarantee.
#[derive(Clone, Debug)]
pub struct Gang {
    /// Index of the account.
    pub account: usize,
    /// Guaranteed shape.
    pub shape: shape::Shape,
    /// Parts of the gang; empty while it can't be packed.
    pub parts: Vec<Part>,
    /// Number of jobs that claim capacity of the gang.
    pub claimants: u32,
    /// Whether no ticket guarantees the gang any more; it is removed with its last claim.
    pub retired: bool,
}

macros::copy_types! {
    /// The tasks that a job runs in one part of a gang.
    pub struct Claim {
        /// Key of the gang.
        pub gang: GangKey,
        /// Position of the part in the gang.
        pub part: usize,
        /// Number of tasks.
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
    /// The capacity that a whole part takes on its worker.
    pub fn amount(&self, part: &Part) -> capacity::Amount {
        capacity::Amount::for_tasks(part.tasks, self.shape.accelerators)
    }
}

impl Guarantees {
    /// The gangs of an account.
    pub fn of_account(&self, account: usize) -> impl Iterator<Item = (GangKey, &Gang)> {
        let keys = self.by_account.get(&account).into_iter().flatten();
        keys.map(|&key| (key, &self.gangs[key]))
    }

    /// All gangs.
    pub fn all(&self) -> impl Iterator<Item = (GangKey, &Gang)> {
        self.gangs.iter()
    }

    /// Applies the guarantees of a configuration. Gangs that it still guarantees keep their parts.
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

    /// Packs unpacked gangs, moving unclaimed ones where that helps. Returns whether the number of
    /// unpacked gangs fell.
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

    /// Updates the gangs after a change of a worker's usability: unclaimed gangs are moved off a
    /// worker that is unusable or overcommitted.
    pub fn worker_changed(&mut self, fleet: &mut fleet::Fleet, worker: usize) {
        if fleet.usable(worker)
            && fleet.available(worker, capacity::Availability::Reservable).is_non_negative()
        {
            return;
        }
        for key in self.unclaimed_on(worker) {
            self.unpack(fleet, key);
        }
    }

    /// The gangs without claims that have a part on this worker.
    pub fn unclaimed_on(&self, worker: usize) -> Vec<GangKey> {
        let placed_on = |gang: &Gang| gang.parts.iter().any(|part| part.worker == worker);
        self.gangs
            .iter()
            .filter(|(_, gang)| gang.claimants == 0 && placed_on(gang))
            .map(|(key, _)| key)
            .collect()
    }

    /// Claims on one gang that hold all tasks of the shape. Whether preemptible jobs occupy the
    /// capacity is not checked.
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

    /// Claims on any gangs of an account, for shapes that may be spread over the whole cell;
    /// checked like [`Self::claims`].
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

    /// The placement of a set of claims.
    pub fn placement(&self, claims: &[Claim]) -> fit::Placement {
        let mut placement = BTreeMap::new();
        for claim in claims {
            *placement.entry(self.gangs[claim.gang].parts[claim.part].worker).or_default() +=
                claim.tasks;
        }
        placement.into_iter().collect()
    }

    /// Records the claims of a job.
    pub fn claim(&mut self, claims: &[Claim], accelerators: u32) {
        for claim in claims {
            let part = &mut self.gangs[claim.gang].parts[claim.part];
            part.used = part.used.plus(capacity::Amount::for_tasks(claim.tasks, accelerators));
        }
        for key in gangs_of(claims) {
            self.gangs[key].claimants += 1;
        }
    }

    /// Releases the claims of a job.
    pub fn unclaim(&mut self, fleet: &mut fleet::Fleet, claims: &[Claim], accelerators: u32) {
        for claim in claims {
            let part = &mut self.gangs[claim.gang].parts[claim.part];
            part.used = part.used.minus(capacity::Amount::for_tasks(claim.tasks, accelerators));
        }
        for key in gangs_of(claims) {
            self.gangs[key].claimants -= 1;
            if self.gangs[key].claimants == 0 {
                self.last_claim_released(fleet, key);
            }
        }
    }

    /// Moves an unclaimed gang to a placement that has capacity for all of it, so that the whole
    /// gang can be claimed.
    pub fn move_to(&mut self, fleet: &mut fleet::Fleet, key: GangKey, placement: &fit::Placement) {
        self.unpack(fleet, key);
        self.pack_at(fleet, key, placement);
    }

    /// The gangs that can't be packed now.
    pub fn unpacked(&self) -> impl Iterator<Item = &Gang> {
        self.unpacked.iter().map(|&key| &self.gangs[key])
    }

    /// Moves unclaimed gangs off the workers of a placement, as far as its tasks with
    /// `accelerators` accelerators each need the capacity, and packs them elsewhere. Returns
    /// whether that succeeded; if not, nothing has changed.
    pub fn move_away(
        &mut self,
        fleet: &mut fleet::Fleet,
        placement: &fit::Placement,
        accelerators: u32,
    ) -> bool {
        let mut moved = Vec::new();
        for &(worker, _) in placement {
            for key in self.unclaimed_on(worker) {
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

    /// Handles the loss of a gang's last claim: a retired gang is removed, and one on an unusable
    /// worker is unpacked.
    fn last_claim_released(&mut self, fleet: &mut fleet::Fleet, key: GangKey) {
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

    /// Repacks all unclaimed gangs, and restores the old packing unless fewer gangs are left
    /// unpacked.
    fn repack(&mut self, fleet: &mut fleet::Fleet) {
        let unclaimed: BTreeSet<_> =
            self.gangs.iter().filter(|(_, gang)| gang.claimants == 0).map(|(key, _)| key).collect();
        let old: Vec<_> = unclaimed.iter().map(|&key| (key, self.placement_of(key))).collect();
        let unpacked = self.unpacked.len();
        for &key in &unclaimed {
            self.unpack(fleet, key);
        }
        self.pack_each(fleet);
        if self.unpacked.len() < unpacked {
            return;
        }
        for &key in &unclaimed {
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
