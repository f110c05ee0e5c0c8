//! A flow from volumes to the nodes that hold their extents, which grows and shrinks where it stands.
//!
//! Called by [`crate::planner`] volume by volume, and by [`crate::incremental_flow`] as a site changes: `offer` raises
//! what volumes with like homes may put on each, `fill` carries as much of an amount as it can, by the
//! shortest ways and moving what lies there already (Ford and Fulkerson, with breadth first as by Edmonds and
//! Karp). A solver would have to begin anew each time; this goes on from what is carried. All that it changes
//! is noted while a mark is set, and can be taken back.
//!
//! Amounts are whole thousandths of units a second. Memory: a few words for each home of each group.

use std::collections::HashMap;

/// Volumes with like homes: how much of them lies on each home, and may.
#[derive(Debug, Clone)]
pub struct Group {
    pub homes: Vec<usize>,
    pub on: Vec<u64>,
    pub most: Vec<u64>,
}

/// What a note puts back.
#[derive(Debug, Clone, Copy)]
enum Note {
    On(usize, usize, u64),
    Most(usize, usize, u64),
    Room(usize, u64),
}

/// A step of a search: from which node, through whose volumes, from and to which of their homes.
type Step = (usize, usize, usize, usize);

#[derive(Debug, Clone, Default)]
pub struct Flow {
    room: Vec<u64>,
    groups: Vec<Group>,
    of_homes: HashMap<Vec<usize>, usize>,
    /// By node: which groups have a home there, and as which of their homes.
    at: Vec<Vec<(usize, usize)>>,
    /// Nodes from which nothing leads to room. True until room is freed or a group may put more somewhere,
    /// so that a search does not go again and again through what is full.
    shut: Vec<bool>,
    notes: Option<Vec<Note>>,
    /// Of a search: by which step each node was come to, and in which search.
    from: Vec<(u64, Option<Step>)>,
    searches: u64,
}

impl Flow {
    pub fn new(capacity: &[u64]) -> Self {
        let n = capacity.len();
        let (at, shut, from) = (vec![Vec::new(); n], vec![false; n], vec![(0, None); n]);
        Flow {
            room: capacity.to_vec(),
            at,
            shut,
            from,
            ..Flow::default()
        }
    }

    pub fn room(&self, node: usize) -> u64 {
        self.room[node]
    }

    pub fn group(&self, g: usize) -> &Group {
        &self.groups[g]
    }

    /// The group of volumes with those homes.
    pub fn group_of(&mut self, homes: &[usize]) -> usize {
        if let Some(g) = self.of_homes.get(homes) {
            return *g;
        }
        let g = self.groups.len();
        self.of_homes.insert(homes.to_vec(), g);
        homes
            .iter()
            .enumerate()
            .for_each(|(i, n)| self.at[*n].push((g, i)));
        let none = vec![0; homes.len()];
        self.groups.push(Group {
            homes: homes.to_vec(),
            on: none.clone(),
            most: none,
        });
        g
    }

    /// Groups with a home there.
    pub fn groups_at(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        self.at[node].iter().map(|a| a.0)
    }

    /// Whether nothing leads from there to room, as far as has been looked.
    pub fn is_shut(&self, node: usize) -> bool {
        self.shut[node]
    }

    fn note(&mut self, note: Note) {
        self.notes.iter_mut().for_each(|n| n.push(note));
    }

    fn set_on(&mut self, g: usize, i: usize, to: u64) {
        self.note(Note::On(g, i, self.groups[g].on[i]));
        self.groups[g].on[i] = to;
    }

    fn set_room(&mut self, node: usize, to: u64) {
        self.note(Note::Room(node, self.room[node]));
        if to > self.room[node] {
            self.shut.fill(false);
        }
        self.room[node] = to;
    }

    /// What a group may put on each of its homes; what lies there beyond that is dropped, and answered.
    pub fn set_most(&mut self, g: usize, most: &[u64]) -> u64 {
        let mut dropped = 0;
        for (i, to) in most.iter().enumerate() {
            let old = self.groups[g].most[i];
            if *to == old {
                continue;
            }
            self.note(Note::Most(g, i, old));
            self.groups[g].most[i] = *to;
            let over = self.groups[g].on[i].saturating_sub(*to);
            dropped += over;
            self.drop_on(g, i, over);
            // More may now gather on a home that was as full of these as it might be: what was shut behind
            // that home no longer is, if any of these lies where nothing led on.
            let grp = &self.groups[g];
            let lies_shut = |(n, on): (&usize, &u64)| *on > 0 && self.shut[*n];
            if *to > old && !self.shut[grp.homes[i]] && grp.homes.iter().zip(&grp.on).any(lies_shut)
            {
                self.shut.fill(false);
            }
        }
        dropped
    }

    /// Raises what a group may put on each of its homes.
    pub fn offer(&mut self, g: usize, more: impl Iterator<Item = u64>) {
        let most: Vec<u64> = self.groups[g]
            .most
            .iter()
            .zip(more)
            .map(|(m, more)| m + more)
            .collect();
        self.set_most(g, &most);
    }

    fn drop_on(&mut self, g: usize, i: usize, much: u64) {
        if much > 0 {
            let (node, on) = (self.groups[g].homes[i], self.groups[g].on[i]);
            self.set_on(g, i, on - much);
            self.set_room(node, self.room[node] + much);
        }
    }

    /// Carries that much less of a group, wherever it lies.
    pub fn drop_some(&mut self, g: usize, mut much: u64) {
        for i in 0..self.groups[g].on.len() {
            let here = much.min(self.groups[g].on[i]);
            self.drop_on(g, i, here);
            much -= here;
        }
    }

    /// Takes a node's capacity away or gives it back; what no longer finds room there is dropped. Answers how
    /// much of which group.
    pub fn set_capacity(&mut self, node: usize, was: u64, is: u64) -> Vec<(usize, u64)> {
        let used = was - self.room[node];
        if used <= is {
            self.set_room(node, is - used);
            return Vec::new();
        }
        let mut over = used - is;
        let mut dropped = Vec::new();
        for (g, i) in self.at[node].clone() {
            let here = over.min(self.groups[g].on[i]);
            if here > 0 {
                self.set_on(g, i, self.groups[g].on[i] - here);
                dropped.push((g, here));
                over -= here;
            }
        }
        self.set_room(node, 0);
        dropped
    }

    /// Carries as much of a group as it can of an amount; answers what is left over.
    pub fn fill(&mut self, g: usize, amount: u64) -> u64 {
        let mut left = amount;
        while left > 0 {
            match self.search(g) {
                Some((first, path)) => left -= self.carry(g, first, &path, left),
                None => break,
            }
        }
        left
    }

    /// The shortest way from these volumes to a node with room: which of their homes, and what must move on
    /// from there.
    fn search(&mut self, g: usize) -> Option<(usize, Vec<Step>)> {
        self.searches += 1;
        let now = self.searches;
        let mut seen: Vec<usize> = Vec::new();
        let Group { homes, on, most } = &self.groups[g];
        for (i, n) in homes.iter().enumerate() {
            if on[i] < most[i] && !self.shut[*n] {
                self.from[*n] = (now, None);
                seen.push(*n);
            }
        }
        let mut next = 0;
        while let Some(n) = seen.get(next).copied() {
            next += 1;
            if self.room[n] > 0 {
                let (mut path, mut at) = (Vec::new(), n);
                while let (_, Some(step)) = self.from[at] {
                    path.push(step);
                    at = step.0;
                }
                return Some((at, path));
            }
            for (h, here) in &self.at[n] {
                let a = &self.groups[*h];
                if a.on[*here] == 0 {
                    continue;
                }
                for (there, m) in a.homes.iter().enumerate() {
                    if self.from[*m].0 != now && a.on[there] < a.most[there] && !self.shut[*m] {
                        self.from[*m] = (now, Some((n, *h, *here, there)));
                        seen.push(*m);
                    }
                }
            }
        }
        seen.into_iter().for_each(|n| self.shut[n] = true);
        None
    }

    /// Carries along a way what its narrowest step lets through.
    fn carry(&mut self, g: usize, first: usize, path: &[Step], wanted: u64) -> u64 {
        let own = self.groups[g]
            .homes
            .iter()
            .position(|n| *n == first)
            .expect("its own home");
        let end = path
            .first()
            .map_or(first, |(_, h, _, there)| self.groups[*h].homes[*there]);
        let mut much = wanted
            .min(self.room[end])
            .min(self.groups[g].most[own] - self.groups[g].on[own]);
        for (_, h, here, there) in path {
            let a = &self.groups[*h];
            much = much.min(a.on[*here]).min(a.most[*there] - a.on[*there]);
        }
        self.set_on(g, own, self.groups[g].on[own] + much);
        for (_, h, here, there) in path {
            self.set_on(*h, *here, self.groups[*h].on[*here] - much);
            self.set_on(*h, *there, self.groups[*h].on[*there] + much);
        }
        self.set_room(end, self.room[end] - much);
        much
    }

    /// From here on all that changes is noted.
    pub fn mark(&mut self) {
        self.notes = Some(Vec::new());
    }

    /// Everything is again as it was at the mark.
    pub fn back(&mut self) {
        for note in self.notes.take().into_iter().flatten().rev() {
            match note {
                Note::On(g, i, was) => self.groups[g].on[i] = was,
                Note::Most(g, i, was) => self.groups[g].most[i] = was,
                Note::Room(n, was) => self.room[n] = was,
            }
        }
        self.shut.fill(false);
    }

    /// Nothing is noted any more, and what was stays.
    pub fn stay(&mut self) {
        self.notes = None;
    }
}
