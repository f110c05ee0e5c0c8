//! The login phase of one connection, target side (RFC 7143, sections 6.3 and 11.12, 11.13).
//!
//! [`Login::request`] takes each login request and returns the response and the state of the login.
//! [`STAGE_TRANSITIONS`] lists the permitted transitions between stages; any other transition is an initiator
//! error. Secrets and names come from [`Target`]s, and the random bytes for challenges from the caller.
//!
//! Each login is bounded in text ([`MAX_TEXT`]) and in requests ([`MAX_REQUESTS`]). The caller bounds
//! the duration of a login and the number of concurrent ones. No I/O.

use crate::chap::{constant_time_eq, from_text, to_text, Algorithm};
use crate::keys::{format, parse, KeyError, Negotiation, Params, Preferences, MAX_TEXT};
use crate::pdu::{Header, Opcode, Pdu};

/// The maximum number of requests in one login. A complete login takes four to six.
pub const MAX_REQUESTS: u32 = 32;

/// The stage of a login, as the CSG and NSG fields encode it.
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

/// The stage transitions that a request with the T bit may ask for (section 11.12.3).
pub const STAGE_TRANSITIONS: [(Stage, Stage); 3] = [
    (Stage::Security, Stage::Operational),
    (Stage::Security, Stage::FullFeature),
    (Stage::Operational, Stage::FullFeature),
];

/// The status of a login response: Status-Class and Status-Detail (section 11.13.5).
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

/// The CHAP name and secret of one direction of authentication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Secret {
    pub name: String,
    pub secret: Vec<u8>,
}

/// The properties of a target that a login needs.
#[derive(Debug, Clone, Default)]
pub struct Target {
    pub name: String,
    /// The initiators that may log in; None if all may.
    pub initiators: Option<Vec<String>>,
    /// The credentials that an initiator must prove to know; None if it need not authenticate.
    pub chap: Option<Secret>,
    /// The target's own credentials, for an initiator that asks for mutual authentication.
    pub mutual: Option<Secret>,
}

/// The configuration of the portal that a login uses.
#[derive(Debug, Clone, Default)]
pub struct Portal {
    pub targets: Vec<Target>,
    /// The credentials that the initiator of a discovery session must prove to know; None if it need
    /// not authenticate.
    pub discovery_chap: Option<Secret>,
    /// The target portal group tag.
    pub group: u16,
    pub preferences: Preferences,
}

/// The result of a completed login.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedIn {
    pub initiator: String,
    /// The name of the target; None for a discovery session.
    pub target: Option<String>,
    pub isid: [u8; 6],
    /// The TSIH of the request: 0 for a new session.
    pub tsih: u16,
    pub cid: u16,
    pub params: Params,
}

/// The state of a login after a request.
#[derive(Debug, Clone, PartialEq)]
pub enum LoginState {
    /// The login continues with another request.
    NeedsRequest,
    /// The full feature phase begins after the response. The caller sets the TSIH.
    Done(Box<LoggedIn>),
    /// The login failed, for the given reason. The connection ends after the response.
    Failed(Status, String),
}

/// The progress of the authentication.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Chap {
    NotNegotiated,
    /// The method is agreed, the algorithm is not.
    Agreed,
    Challenged {
        algorithm: Algorithm,
        id: u8,
        challenge: Vec<u8>,
    },
    Authenticated,
}

#[derive(Debug)]
pub struct Login {
    portal: Portal,
    stage: Stage,
    negotiation: Option<Negotiation>,
    /// The text of the current negotiation step, over the PDUs with the C bit so far.
    text: Vec<u8>,
    requests: u32,
    /// The header of the first request.
    first: Option<Header>,
    initiator: Option<String>,
    target: Option<Target>,
    /// This side has declared its parameters.
    declared: bool,
    chap: Chap,
}

type Pairs = Vec<(String, String)>;

/// The reason why a login fails.
type LoginFailure = (Status, String);

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
            chap: Chap::NotNegotiated,
        }
    }

    /// Answers one login request. `random_bytes` must be new for each call. `sequence_numbers` holds the
    /// StatSN, ExpCmdSN and MaxCmdSN of the response.
    pub fn request(
        &mut self,
        pdu: &Pdu,
        random_bytes: [u8; 17],
        sequence_numbers: (u32, u32, u32),
    ) -> (Pdu, LoginState) {
        let h = &pdu.header;
        let answered = self.step(h, &pdu.data, random_bytes);
        let (status, pairs, to, standing) = match answered {
            Ok((pairs, to)) => {
                let done = to == Some(Stage::FullFeature);
                let standing = if done {
                    LoginState::Done(Box::new(self.logged_in(h)))
                } else {
                    LoginState::NeedsRequest
                };
                (Status::Success, pairs, to, standing)
            }
            Err((status, why)) => (status, Vec::new(), None, LoginState::Failed(status, why)),
        };
        let csg = (h.flags() >> 2) & 3;
        let transit_flags = to.map_or(0, |to| 0x80 | to as u8);
        let code = status as u16;
        let header = Header::new(Opcode::LoginResponse)
            .set_flags(transit_flags | csg << 2)
            .set_isid(h.isid())
            .set_tsih(h.tsih())
            .set_itt(h.itt())
            .set_cmd_sn(sequence_numbers.0)
            .set_exp_stat_sn(sequence_numbers.1)
            .set_word32(sequence_numbers.2)
            .set_byte(36, (code >> 8) as u8)
            .set_byte(37, code as u8);
        (Pdu::new(header, format(&pairs)), standing)
    }

    fn step(
        &mut self,
        h: &Header,
        data: &[u8],
        random_bytes: [u8; 17],
    ) -> Result<(Pairs, Option<Stage>), LoginFailure> {
        let initiator_error = |why: &str| Err((Status::InitiatorError, why.to_string()));
        self.requests += 1;
        if self.requests > MAX_REQUESTS {
            return initiator_error("login exceeds the maximum number of requests");
        }
        let (transit, more) = (h.flags() & 0x80 != 0, h.flags() & 0x40 != 0);
        let (Some(csg), nsg) = (Stage::of(h.flags() >> 2), Stage::of(h.flags())) else {
            return initiator_error("CSG is 2, which is reserved");
        };
        match &self.first {
            None => {
                // Byte 3 is Version-min.
                if h.byte(3) > 0 {
                    return Err((
                        Status::UnsupportedVersion,
                        format!("speaks version {} at least", h.byte(3)),
                    ));
                }
                if csg == Stage::FullFeature {
                    return initiator_error(
                        "CSG of the first request is 3 (full feature phase), expected 0 or 1",
                    );
                }
                self.stage = csg;
                self.first = Some(*h);
            }
            Some(first) => {
                let same =
                    first.isid() == h.isid() && first.tsih() == h.tsih() && first.cid() == h.cid();
                if !same || first.itt() != h.itt() {
                    return initiator_error("ISID, TSIH, CID or initiator task tag differs from the first login request");
                }
                if csg != self.stage {
                    return initiator_error("CSG is not the agreed stage");
                }
            }
        }
        if transit && more {
            return initiator_error("T bit and C bit are both set");
        }
        if self.text.len() + data.len() > MAX_TEXT {
            return initiator_error("text of one negotiation step exceeds the maximum length");
        }
        self.text.extend_from_slice(data);
        if more {
            return Ok((Vec::new(), None));
        }
        let to = match (transit, nsg) {
            (false, _) => None,
            (true, Some(to)) if STAGE_TRANSITIONS.contains(&(csg, to)) => Some(to),
            (true, _) => return initiator_error("transition from CSG to NSG is not permitted"),
        };
        let text = std::mem::take(&mut self.text);
        let pairs = parse(&text).map_err(key_failure)?;
        if self.negotiation.is_none() {
            self.identify(h, &pairs)?;
        }
        let mut answers = match self.stage {
            Stage::Security => self.answer_security_stage(&pairs, random_bytes)?,
            _ => self.answer_operational_keys(&pairs)?,
        };
        // An initiator that must authenticate can neither leave the security stage nor skip it without
        // authentication.
        if (to.is_some() || self.stage == Stage::Operational) && !self.is_authenticated() {
            let not_negotiating = !matches!(self.chap, Chap::Agreed | Chap::Challenged { .. });
            if to.is_none() || not_negotiating {
                return Err((
                    Status::AuthenticationFailure,
                    "initiator did not authenticate, but the target requires it".into(),
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

    /// Reads the initiator, the session type and the target from the first request (section 6.3.1).
    fn identify(&mut self, h: &Header, pairs: &[(String, String)]) -> Result<(), LoginFailure> {
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
        let mut negotiation =
            Negotiation::new(self.portal.preferences.clone(), agreed, true, leading);
        match get("SessionType").unwrap_or("Normal") {
            "Discovery" => negotiation.discovery = true,
            "Normal" => {
                let name = get("TargetName").ok_or_else(|| missing("TargetName"))?;
                let target = self.portal.targets.iter().find(|t| t.name == name);
                let target = target.ok_or_else(|| {
                    (
                        Status::NotFound,
                        format!("TargetName {name:.80} is unknown"),
                    )
                })?;
                if target
                    .initiators
                    .as_ref()
                    .is_some_and(|all| !all.iter().any(|i| i == initiator))
                {
                    return Err((
                        Status::AuthorizationFailure,
                        format!("initiator {initiator:.80} may not access the target"),
                    ));
                }
                self.target = Some(target.clone());
            }
            other => {
                return Err((
                    Status::SessionTypeNotSupported,
                    format!("SessionType is {other:.40}, expected Normal or Discovery"),
                ))
            }
        }
        self.negotiation = Some(negotiation);
        Ok(())
    }

    /// Returns the credentials that the initiator must prove to know; None if it need not authenticate.
    fn required_credentials(&self) -> Option<&Secret> {
        match &self.target {
            Some(target) => target.chap.as_ref(),
            None => self.portal.discovery_chap.as_ref(),
        }
    }

    fn is_authenticated(&self) -> bool {
        self.required_credentials().is_none() || self.chap == Chap::Authenticated
    }

    /// Answers a request of the security stage (section 12.1).
    fn answer_security_stage(
        &mut self,
        pairs: &[(String, String)],
        random_bytes: [u8; 17],
    ) -> Result<Pairs, LoginFailure> {
        let get = |key: &str| {
            pairs
                .iter()
                .find(|(k, _)| k == key)
                .map(|(_, v)| v.as_str())
        };
        let failed = |why: &str| (Status::AuthenticationFailure, why.to_string());
        let mut answers = Vec::new();
        let mut push_answer = |k: &str, v: String| answers.push((k.to_string(), v));
        let (mut rest, mut chap) = (Vec::new(), Vec::new());
        for pair in pairs {
            let is_chap_key = pair.0.starts_with("CHAP_") || pair.0 == "AuthMethod";
            if is_chap_key { &mut chap } else { &mut rest }.push(pair.clone());
        }
        if let Some(methods) = get("AuthMethod") {
            if self.chap != Chap::NotNegotiated {
                return Err(failed("AuthMethod is offered a second time"));
            }
            let has = |m: &str| methods.split(',').any(|o| o == m);
            match self.required_credentials() {
                Some(_) if has("CHAP") => {
                    self.chap = Chap::Agreed;
                    push_answer("AuthMethod", "CHAP".into());
                }
                Some(_) => {
                    return Err(failed(
                        "AuthMethod does not offer CHAP, which the target requires",
                    ))
                }
                None if has("None") => push_answer("AuthMethod", "None".into()),
                None => push_answer("AuthMethod", "Reject".into()),
            }
            if let (Some(_), false) = (&self.target, self.declared) {
                push_answer("TargetPortalGroupTag", self.portal.group.to_string());
            }
        } else if let (Some(list), Chap::Agreed) = (get("CHAP_A"), &self.chap) {
            let algorithm = Algorithm::choose(list)
                .ok_or_else(|| failed("CHAP_A offers no supported algorithm"))?;
            let (id, challenge) = (random_bytes[0], random_bytes[1..].to_vec());
            push_answer("CHAP_A", (algorithm as u32).to_string());
            push_answer("CHAP_I", id.to_string());
            push_answer("CHAP_C", to_text(&challenge));
            self.chap = Chap::Challenged {
                algorithm,
                id,
                challenge,
            };
        } else if let (
            Some(name),
            Chap::Challenged {
                algorithm,
                id,
                challenge,
            },
        ) = (get("CHAP_N"), self.chap.clone())
        {
            let response = get("CHAP_R")
                .and_then(from_text)
                .ok_or_else(|| failed("CHAP_R is missing or not a binary value"))?;
            let required = self
                .required_credentials()
                .cloned()
                .ok_or_else(|| failed("no CHAP credentials are configured for the initiator"))?;
            let response_matches = constant_time_eq(
                &algorithm.response(id, &required.secret, &challenge),
                &response,
            );
            // The same error for both, so that an initiator cannot find out valid names.
            if !response_matches || required.name != name {
                return Err(failed("CHAP name or secret is wrong"));
            }
            if let (Some(theirs), Some(i)) = (get("CHAP_C"), get("CHAP_I")) {
                let theirs = from_text(theirs).filter(|c| !c.is_empty());
                let theirs =
                    theirs.ok_or_else(|| failed("CHAP_C is empty or not a binary value"))?;
                // An initiator without the secret could reflect the target's challenge to obtain the
                // response to it.
                if theirs == challenge {
                    return Err(failed("CHAP_C reflects the target's own challenge"));
                }
                let i = i
                    .parse()
                    .map_err(|_| failed("CHAP_I is not a number from 0 to 255"))?;
                let own = self.target.as_ref().and_then(|t| t.mutual.as_ref());
                let own = own.ok_or_else(|| {
                    failed("mutual CHAP is requested, but the target has no credentials for it")
                })?;
                push_answer("CHAP_N", own.name.clone());
                push_answer(
                    "CHAP_R",
                    to_text(&algorithm.response(i, &own.secret, &theirs)),
                );
            }
            self.chap = Chap::Authenticated;
        } else if !chap.is_empty() {
            return Err(failed("CHAP keys are out of order"));
        }
        // Operational keys are permitted in the security stage too.
        answers.extend(self.answer_operational_keys(&rest)?);
        Ok(answers)
    }

    /// Answers the operational keys of a request.
    fn answer_operational_keys(
        &mut self,
        pairs: &[(String, String)],
    ) -> Result<Pairs, LoginFailure> {
        let mut answers = Vec::new();
        let negotiation = self
            .negotiation
            .as_mut()
            .expect("made by the first request");
        for (key, value) in pairs {
            answers.extend(negotiation.offer(key, value).map_err(key_failure)?);
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

fn key_failure(fault: KeyError) -> LoginFailure {
    (Status::InitiatorError, fault.to_string())
}
