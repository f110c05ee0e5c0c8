//! What a node is, by all who speak of it.
//!
//! Operators, the list of nodes and the answers of the node itself often disagree: the list is seconds late
//! and knows only whether a process runs, answers tell nothing of a node that is sent nothing, and operators
//! may drain what is long gone. [`TABLE`] says whom to believe: its rows are read from the top, and the first
//! that fits counts. Operators' wishes stand above the list, since only they know what a box is meant for;
//! the list stands above answers, since a node that is told to drain answers as well as ever; and answers
//! stand above the age that the list tells, since one that fails everything is no better for being warm.

use grebecleat_plans::changes::Stage;
use std::fmt;
use std::time::Duration;

/// What the list last said of a node, as hosts heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ListedState {
    /// No host's list has ever named it.
    #[default]
    Never,
    Ready,
    Draining,
    Gone,
}

/// How a node answers what hosts send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Answers {
    /// Nothing is known: nobody has asked lately.
    #[default]
    None,
    Good,
    /// It refuses, fails or says nothing.
    Bad,
}

/// What a host's decisions hold of a node's answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeHealth {
    /// In one: what it takes by benefit; none while it is shut.
    pub admission_level: f64,
    /// Bad answers in a row.
    pub consecutive_failures: u32,
    /// Since it last answered well; None: never.
    pub since_success: Option<Duration>,
}

/// Below the first it is shut or nearly so; it must be above the second before it is trusted again, since
/// ease comes back by itself while nothing is sent.
const SHUT: (f64, f64) = (0.1, 0.5);
/// One or two bad answers can be chance.
const BAD_ROW: u32 = 3;
/// After this, what it answered says nothing of now.
const LATELY: Duration = Duration::from_secs(10);

impl Answers {
    /// What a host is to say of a node's answers, after what it said before.
    ///
    /// ```
    /// use grebecleat_membership::node_status::{Answers, NodeHealth};
    /// use std::time::Duration;
    /// let heard = |admission_level, consecutive_failures, s| NodeHealth { admission_level, consecutive_failures, since_success: Some(Duration::from_secs(s)) };
    /// assert_eq!(Answers::of(heard(1.0, 0, 3), Answers::None), Answers::Good);
    /// assert_eq!(Answers::of(heard(0.0, 0, 3), Answers::Good), Answers::Bad);
    /// assert_eq!(Answers::of(heard(0.3, 0, 3), Answers::Bad), Answers::Bad);
    /// assert_eq!(Answers::of(heard(0.6, 0, 30), Answers::Bad), Answers::None);
    /// ```
    pub fn of(h: NodeHealth, before: Answers) -> Answers {
        let least = if before == Answers::Bad {
            SHUT.1
        } else {
            SHUT.0
        };
        match h.since_success {
            _ if h.admission_level < least || h.consecutive_failures >= BAD_ROW => Answers::Bad,
            Some(since) if since < LATELY => Answers::Good,
            _ => Answers::None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum NodeStatus {
    #[default]
    Unknown,
    Warming,
    Ready,
    Draining,
    Empty,
    Out,
    Suspect,
    /// It was taken out and runs again; it gets nothing until it is returned.
    Back,
}

/// Who was believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Wins {
    #[default]
    Nobody,
    Operators,
    List,
    Answers,
}

/// All that is said of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Said {
    /// None: nobody wants it empty. One that waits for its turn counts as none here.
    pub wish: Option<Stage>,
    pub word: ListedState,
    pub answers: Answers,
    /// It started so lately that it cannot do all its work.
    pub cold: bool,
    /// Its process started after it was taken out.
    pub anew: bool,
}

/// A row of the table: what must be so (None: anything), and what then counts.
pub struct Row {
    pub wish: Option<Option<Stage>>,
    pub word: Option<ListedState>,
    pub answers: Option<Answers>,
    pub cold: Option<bool>,
    pub anew: Option<bool>,
    pub node_status: NodeStatus,
    pub wins: Wins,
}

const fn row(wish: Option<Stage>, node_status: NodeStatus) -> Row {
    let (wish, wins) = (Some(wish), Wins::Operators);
    Row {
        wish,
        word: None,
        answers: None,
        cold: None,
        anew: None,
        node_status,
        wins,
    }
}

const fn word(word: ListedState, node_status: NodeStatus) -> Row {
    Row {
        word: Some(word),
        wins: Wins::List,
        ..row(None, node_status)
    }
}

/// Who is believed, from the top.
pub const TABLE: [Row; 11] = [
    // A process that started after the box was taken out is a box that somebody put back.
    Row {
        word: Some(ListedState::Ready),
        anew: Some(true),
        wins: Wins::List,
        ..row(Some(Stage::Removed), NodeStatus::Back)
    },
    row(Some(Stage::Removed), NodeStatus::Out),
    row(Some(Stage::Drained), NodeStatus::Empty),
    // Whatever starts under its number while it drains: the wish is for the box, not for one process.
    row(Some(Stage::Draining), NodeStatus::Draining),
    word(ListedState::Never, NodeStatus::Unknown),
    word(ListedState::Gone, NodeStatus::Out),
    word(ListedState::Draining, NodeStatus::Draining),
    Row {
        answers: Some(Answers::Bad),
        wins: Wins::Answers,
        ..word(ListedState::Ready, NodeStatus::Suspect)
    },
    Row {
        cold: Some(true),
        ..word(ListedState::Ready, NodeStatus::Warming)
    },
    Row {
        answers: Some(Answers::Good),
        wins: Wins::Answers,
        ..word(ListedState::Ready, NodeStatus::Ready)
    },
    word(ListedState::Ready, NodeStatus::Ready),
];

impl Row {
    fn fits(&self, s: &Said) -> bool {
        let wish = s.wish.filter(|w| *w != Stage::Queued);
        self.wish.is_none_or(|w| w == wish)
            && self.word.is_none_or(|w| w == s.word)
            && self.answers.is_none_or(|a| a == s.answers)
            && self.cold.is_none_or(|c| c == s.cold)
            && self.anew.is_none_or(|a| a == s.anew)
    }
}

/// What the node is, and who says so.
///
/// ```
/// use grebecleat_membership::node_status::{node_status, Answers, NodeStatus, Said, Wins, ListedState};
/// use grebecleat_plans::changes::Stage;
/// let s = Said { word: ListedState::Ready, answers: Answers::Bad, cold: true, ..Said::default() };
/// assert_eq!(node_status(&s), (NodeStatus::Suspect, Wins::Answers));
/// // It came back by itself while it drains: it still drains.
/// assert_eq!(node_status(&Said { wish: Some(Stage::Draining), anew: true, ..s }), (NodeStatus::Draining, Wins::Operators));
/// ```
pub fn node_status(s: &Said) -> (NodeStatus, Wins) {
    let row = TABLE.iter().find(|r| r.fits(s));
    row.map_or((NodeStatus::Unknown, Wins::Nobody), |r| {
        (r.node_status, r.wins)
    })
}

impl NodeStatus {
    pub const NAMES: [(NodeStatus, &'static str); 8] = [
        (NodeStatus::Unknown, "unknown"),
        (NodeStatus::Warming, "warming"),
        (NodeStatus::Ready, "ready"),
        (NodeStatus::Draining, "draining"),
        (NodeStatus::Empty, "empty"),
        (NodeStatus::Out, "out"),
        (NodeStatus::Suspect, "suspect"),
        (NodeStatus::Back, "back"),
    ];

    pub fn name(self) -> &'static str {
        NodeStatus::NAMES
            .iter()
            .find(|(node_status, _)| *node_status == self)
            .map_or("", |(_, name)| name)
    }
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for Wins {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Wins::Nobody => "nobody",
            Wins::Operators => "operators",
            Wins::List => "the list",
            Wins::Answers => "its answers",
        })
    }
}

/// One host's reading of the list: which start of the node's process it is about, when that began by our
/// clock (None: long ago), and the list's revision that told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Reading {
    pub word: ListedState,
    pub start: u64,
    pub started: Option<Duration>,
    pub revision: u64,
}

impl Reading {
    /// Whether this one is to be believed rather than another host's: of two starts the younger, since the
    /// older one is over; of words about one start what the list told later. What a host only remembers
    /// (revision 0) is older than what any has heard. A list that itself began anew counts from the start
    /// again: until its hosts have asked it anew they may believe an old word, for as long as the list is
    /// late anyway.
    ///
    /// ```
    /// use grebecleat_membership::node_status::{Reading, ListedState};
    /// use std::time::Duration;
    /// let old = Reading { word: ListedState::Gone, start: 1, started: None, revision: 9 };
    /// let new = Reading { word: ListedState::Ready, start: 2, started: Some(Duration::from_secs(5)), revision: 8 };
    /// assert!(new.beats(&old) && !old.beats(&new));
    /// assert!(old.beats(&Reading { word: ListedState::Ready, revision: 7, ..old }));
    /// ```
    pub fn beats(&self, other: &Reading) -> bool {
        if self.start != other.start && self.started != other.started {
            return self.started > other.started;
        }
        self.revision > other.revision
    }
}
