//! The login phase of one connection, target side (RFC 7143, sections 6.3 and 11.12, 11.13).
//!
//! [`Login::request`] takes each login request and answers the response and where the login stands.
//! The stages and the transitions between them are [`MAY_MOVE`]; whatever is not in it is an
//! initiator error. Secrets and names come from [`Target`]s; challenges from the caller, who has
//! the source of chance.
//!
//! A login that never ends is the caller's to cut off, by time and by how many are open; here each
//! is bounded in text ([`MAX_TEXT`]) and in requests ([`MAX_REQUESTS`]).

use crate::chap::{constant_time_eq, from_text, to_text, Algorithm};
use crate::keys::{format, parse, KeyError, Negotiation, Params, Wishes, MAX_TEXT};
use crate::pdu::{Header, Opcode, Pdu};

/// Requests in one login. A whole one takes four to six.
pub const MAX_REQUESTS: u32 = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Security = 0,
    Operational = 1,
    FullFeature = 3,
}

impl Stage {
    fn of(bits: u8) -> Option<Stage> {
        match bits & 3 {
            0 => Some(Stage::Security),
            1 => Some(Stage::Operational),
            3 => Some(Stage::FullFeature),
            _ => None,
        }
    }
}

/// Section 11.12.3: from which stage to which a request with the T bit may ask to go.
pub const MAY_MOVE: [(Stage, Stage); 3] = [
    (Stage::Security, Stage::Operational),
    (Stage::Security, Stage::FullFeature),
    (Stage::Operational, Stage::FullFeature),
];

/// Status-Class and Status-Detail (section 11.13.5).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Success = 0x0000,
    InitiatorError = 0x0200,
    AuthenticationFailure = 0x0201,
    AuthorizationFailure = 0x0202,
    NotFound = 0x0203,
    UnsupportedVersion = 0x0205,
    TooManyConnections = 0x0206,
    MissingParameter = 0x0207,
    CannotIncludeInSession = 0x0208,
    SessionTypeNotSupported = 0x0209,
    SessionDoesNotExist = 0x020a,
    InvalidDuringLogin = 0x020b,
    ServiceUnavailable = 0x0301,
    OutOfResources = 0x0302,
}

/// Names and secrets of one direction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Secret {
    pub name: String,
    pub secret: Vec<u8>,
}

/// A target as its login needs it.
#[derive(Debug, Clone, Default)]
pub struct Target {
    pub name: String,
    /// Initiators that may log in; None: all.
    pub initiators: Option<Vec<String>>,
    /// What an initiator must prove to know; None: nothing.
    pub chap: Option<Secret>,
    /// What we prove to an initiator that asks.
    pub mutual: Option<Secret>,
}

/// What the login knows of its surroundings.
#[derive(Debug, Clone, Default)]
pub struct Portal {
    pub targets: Vec<Target>,
    /// What discovery sessions must prove.
    pub discovery_chap: Option<Secret>,
    pub group: u16,
    pub wishes: Wishes,
}

/// Who has logged in, and by what.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedIn {
    pub initiator: String,
    /// None: a discovery session.
    pub target: Option<String>,
    pub isid: [u8; 6],
    /// As asked for: 0 for a new session.
    pub tsih: u16,
    pub cid: u16,
    pub params: Params,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Standing {
    Goes,
    /// Full feature phase begins behind the response; the caller fills in the TSIH.
    Done(Box<LoggedIn>),
    /// The connection ends behind the response.
    Failed(Status, String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Chap {
    Unsaid,
    /// The method is agreed, the algorithm not.
    Agreed,
    Challenged {
        by: Algorithm,
        id: u8,
        challenge: Vec<u8>,
    },
    Proven,
}

#[derive(Debug)]
pub struct Login {
    portal: Portal,
    stage: Stage,
    negotiation: Option<Negotiation>,
    text: Vec<u8>,
    requests: u32,
    first: Option<Header>,
    initiator: Option<String>,
    target: Option<Target>,
    declared: bool,
    chap: Chap,
}

type Pairs = Vec<(String, String)>;

/// Why a login fails.
type Refusal = (Status, String);

impl Login {
    pub fn new(portal: Portal) -> Self {
        Login {
            portal,
            stage: Stage::Security,
            negotiation: None,
            text: Vec::new(),
            requests: 0,
            first: None,
            initiator: None,
            target: None,
            declared: false,
            chap: Chap::Unsaid,
        }
    }

    /// Answers one login request. `chance` is 17 bytes of it, new for each call; `stat_sn`,
    /// `exp_cmd_sn` and `max_cmd_sn` go into the response.
    pub fn request(
        &mut self,
        pdu: &Pdu,
        chance: [u8; 17],
        sns: (u32, u32, u32),
    ) -> (Pdu, Standing) {
        let h = &pdu.header;
        let answered = self.step(h, &pdu.data, chance);
        let (status, pairs, to, standing) = match answered {
            Ok((pairs, to)) => {
                let done = to == Some(Stage::FullFeature);
                let standing = if done {
                    Standing::Done(Box::new(self.logged_in(h)))
                } else {
                    Standing::Goes
                };
                (Status::Success, pairs, to, standing)
            }
            Err((status, why)) => (status, Vec::new(), None, Standing::Failed(status, why)),
        };
        let csg = (h.flags() >> 2) & 3;
        let moves = to.map_or(0, |to| 0x80 | to as u8);
        let code = status as u16;
        let header = Header::new(Opcode::LoginResponse)
            .set_flags(moves | csg << 2)
            .set_isid(h.isid())
            .set_tsih(h.tsih())
            .set_itt(h.itt())
            .set_cmd_sn(sns.0)
            .set_exp_stat_sn(sns.1)
            .set_word32(sns.2)
            .set_byte(36, (code >> 8) as u8)
            .set_byte(37, code as u8);
        (Pdu::new(header, format(&pairs)), standing)
    }

    fn step(
        &mut self,
        h: &Header,
        data: &[u8],
        chance: [u8; 17],
    ) -> Result<(Pairs, Option<Stage>), Refusal> {
        let bad = |why: &str| Err((Status::InitiatorError, why.to_string()));
        self.requests += 1;
        if self.requests > MAX_REQUESTS {
            return bad("login takes too many requests");
        }
        let (transit, more) = (h.flags() & 0x80 != 0, h.flags() & 0x40 != 0);
        let (Some(csg), nsg) = (Stage::of(h.flags() >> 2), Stage::of(h.flags())) else {
            return bad("current stage 2 is reserved");
        };
        match &self.first {
            None => {
                // Version-min, and the stage that a login may begin in.
                if h.byte(3) > 0 {
                    return Err((
                        Status::UnsupportedVersion,
                        format!("speaks version {} at least", h.byte(3)),
                    ));
                }
                if csg == Stage::FullFeature {
                    return bad("login begins in the full feature phase");
                }
                self.stage = csg;
                self.first = Some(*h);
            }
            Some(first) => {
                let same =
                    first.isid() == h.isid() && first.tsih() == h.tsih() && first.cid() == h.cid();
                if !same || first.itt() != h.itt() {
                    return bad("ISID, TSIH, CID or task tag changed within a login");
                }
                if csg != self.stage {
                    return bad("current stage is not the one that was agreed");
                }
            }
        }
        if transit && more {
            return bad("transit and continue at once");
        }
        if self.text.len() + data.len() > MAX_TEXT {
            return bad("too much text in one login step");
        }
        self.text.extend_from_slice(data);
        if more {
            return Ok((Vec::new(), None));
        }
        let to = match (transit, nsg) {
            (false, _) => None,
            (true, Some(to)) if MAY_MOVE.contains(&(csg, to)) => Some(to),
            (true, _) => return bad("no such transition between stages"),
        };
        let text = std::mem::take(&mut self.text);
        let pairs = parse(&text).map_err(refused)?;
        if self.negotiation.is_none() {
            self.identify(h, &pairs)?;
        }
        let mut answers = match self.stage {
            Stage::Security => self.secure(&pairs, chance)?,
            _ => self.operate(&pairs)?,
        };
        // Nobody passes the security stage who has not proven what is asked, and nobody passes by
        // it.
        if (to.is_some() || self.stage == Stage::Operational) && !self.is_proven() {
            let settled = !matches!(self.chap, Chap::Agreed | Chap::Challenged { .. });
            if to.is_none() || settled {
                return Err((
                    Status::AuthenticationFailure,
                    "authentication is asked for".into(),
                ));
            }
            return Ok((answers, None));
        }
        if let Some(to) = to {
            self.stage = to;
            if to == Stage::FullFeature && !self.declared {
                answers.extend(self.negotiation.iter().flat_map(|n| n.declarations()));
            }
        }
        Ok((answers, to))
    }

    /// The first request says who logs in to what (section 6.3.1).
    fn identify(&mut self, h: &Header, pairs: &[(String, String)]) -> Result<(), Refusal> {
        let get = |key: &str| {
            pairs
                .iter()
                .find(|(k, _)| k == key)
                .map(|(_, v)| v.as_str())
        };
        let missing = |key: &str| (Status::MissingParameter, format!("{key} is missing"));
        let initiator = get("InitiatorName")
            .filter(|n| !n.is_empty())
            .ok_or_else(|| missing("InitiatorName"))?;
        self.initiator = Some(initiator.to_string());
        let leading = h.tsih() == 0;
        let agreed = Params::default();
        let mut negotiation = Negotiation::new(self.portal.wishes.clone(), agreed, true, leading);
        match get("SessionType").unwrap_or("Normal") {
            "Discovery" => negotiation.discovery = true,
            "Normal" => {
                let name = get("TargetName").ok_or_else(|| missing("TargetName"))?;
                let target = self.portal.targets.iter().find(|t| t.name == name);
                let target =
                    target.ok_or_else(|| (Status::NotFound, format!("no target {name:.80}")))?;
                if target
                    .initiators
                    .as_ref()
                    .is_some_and(|all| !all.iter().any(|i| i == initiator))
                {
                    return Err((
                        Status::AuthorizationFailure,
                        format!("{initiator:.80} has no access"),
                    ));
                }
                self.target = Some(target.clone());
            }
            other => {
                return Err((
                    Status::SessionTypeNotSupported,
                    format!("session type {other:.40}"),
                ))
            }
        }
        self.negotiation = Some(negotiation);
        Ok(())
    }

    fn asked(&self) -> Option<&Secret> {
        match &self.target {
            Some(target) => target.chap.as_ref(),
            None => self.portal.discovery_chap.as_ref(),
        }
    }

    fn is_proven(&self) -> bool {
        self.asked().is_none() || self.chap == Chap::Proven
    }

    /// The security stage (section 12.1).
    fn secure(&mut self, pairs: &[(String, String)], chance: [u8; 17]) -> Result<Pairs, Refusal> {
        let get = |key: &str| {
            pairs
                .iter()
                .find(|(k, _)| k == key)
                .map(|(_, v)| v.as_str())
        };
        let failed = |why: &str| (Status::AuthenticationFailure, why.to_string());
        let mut answers = Vec::new();
        let mut say = |k: &str, v: String| answers.push((k.to_string(), v));
        let (mut rest, mut chap) = (Vec::new(), Vec::new());
        for pair in pairs {
            let of_chap = pair.0.starts_with("CHAP_") || pair.0 == "AuthMethod";
            if of_chap { &mut chap } else { &mut rest }.push(pair.clone());
        }
        if let Some(methods) = get("AuthMethod") {
            if self.chap != Chap::Unsaid {
                return Err(failed("AuthMethod stands a second time"));
            }
            let has = |m: &str| methods.split(',').any(|o| o == m);
            match self.asked() {
                Some(_) if has("CHAP") => {
                    self.chap = Chap::Agreed;
                    say("AuthMethod", "CHAP".into());
                }
                Some(_) => return Err(failed("CHAP is asked for and not offered")),
                None if has("None") => say("AuthMethod", "None".into()),
                None => say("AuthMethod", "Reject".into()),
            }
            if let (Some(_), false) = (&self.target, self.declared) {
                say("TargetPortalGroupTag", self.portal.group.to_string());
            }
        } else if let (Some(list), Chap::Agreed) = (get("CHAP_A"), &self.chap) {
            let by =
                Algorithm::choose(list).ok_or_else(|| failed("no CHAP algorithm in common"))?;
            let (id, challenge) = (chance[0], chance[1..].to_vec());
            say("CHAP_A", (by as u32).to_string());
            say("CHAP_I", id.to_string());
            say("CHAP_C", to_text(&challenge));
            self.chap = Chap::Challenged { by, id, challenge };
        } else if let (Some(name), Chap::Challenged { by, id, challenge }) =
            (get("CHAP_N"), self.chap.clone())
        {
            let response = get("CHAP_R")
                .and_then(from_text)
                .ok_or_else(|| failed("CHAP_R is missing"))?;
            let known = self
                .asked()
                .cloned()
                .ok_or_else(|| failed("nothing to prove"))?;
            let proven = constant_time_eq(&by.response(id, &known.secret, &challenge), &response);
            // One answer to both, so that names cannot be found out.
            if !proven || known.name != name {
                return Err(failed("name or secret is wrong"));
            }
            if let (Some(theirs), Some(i)) = (get("CHAP_C"), get("CHAP_I")) {
                let theirs = from_text(theirs).filter(|c| !c.is_empty());
                let theirs = theirs.ok_or_else(|| failed("CHAP_C makes no sense"))?;
                // Our own challenge sent back would have us answer it for whoever cannot.
                if theirs == challenge {
                    return Err(failed("our challenge was reflected"));
                }
                let i = i.parse().map_err(|_| failed("CHAP_I makes no sense"))?;
                let own = self.target.as_ref().and_then(|t| t.mutual.as_ref());
                let own = own.ok_or_else(|| failed("we have nothing to prove ourselves by"))?;
                say("CHAP_N", own.name.clone());
                say("CHAP_R", to_text(&by.response(i, &own.secret, &theirs)));
            }
            self.chap = Chap::Proven;
        } else if !chap.is_empty() {
            return Err(failed("CHAP out of its order"));
        }
        // Operational keys may already come here.
        answers.extend(self.operate(&rest)?);
        Ok(answers)
    }

    fn operate(&mut self, pairs: &[(String, String)]) -> Result<Pairs, Refusal> {
        let mut answers = Vec::new();
        let negotiation = self
            .negotiation
            .as_mut()
            .expect("made by the first request");
        for (key, value) in pairs {
            answers.extend(negotiation.offer(key, value).map_err(refused)?);
        }
        if self.stage == Stage::Operational && !self.declared {
            self.declared = true;
            answers.extend(negotiation.declarations());
        }
        Ok(answers)
    }

    fn logged_in(&self, h: &Header) -> LoggedIn {
        LoggedIn {
            initiator: self.initiator.clone().unwrap_or_default(),
            target: self.target.as_ref().map(|t| t.name.clone()),
            isid: h.isid(),
            tsih: h.tsih(),
            cid: h.cid(),
            params: self
                .negotiation
                .as_ref()
                .map(|n| n.agreed.clone())
                .unwrap_or_default(),
        }
    }
}

fn refused(fault: KeyError) -> Refusal {
    (Status::InitiatorError, fault.to_string())
}
