//! Reading and writing of PDUs: arbitrary fragmentation, digest errors and random bytes.

use grebecleat_iscsi::login::{Login, Portal};
use grebecleat_iscsi::pdu::{write, Digests, Header, Opcode, Pdu, PduError, Reader};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn random_pdu(rng: &mut Pcg64Mcg) -> Pdu {
    let mut bytes = [0; 48];
    rng.fill_bytes(&mut bytes);
    let opcode = Opcode::ALL[rng.random_range(0..Opcode::ALL.len())];
    let header = Header(bytes).set_byte(0, opcode as u8);
    let mut data = vec![0; rng.random_range(0..200)];
    rng.fill_bytes(&mut data);
    let mut ahs = vec![0; rng.random_range(0..4) * 4];
    rng.fill_bytes(&mut ahs);
    Pdu {
        ahs: ahs.into(),
        ..Pdu::new(header, data)
    }
}

fn digests(n: u64) -> Digests {
    Digests {
        header: n & 1 != 0,
        data: n & 2 != 0,
    }
}

#[test]
fn pdus_survive_a_round_trip_with_any_fragmentation() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sent: Vec<Pdu> = (0..10).map(|_| random_pdu(&mut rng)).collect();
        let mut bytes = Vec::new();
        sent.iter()
            .for_each(|p| write(p, digests(seed), &mut bytes));
        let mut reader = Reader::new(4096);
        reader.digests = digests(seed);
        let (mut got, mut at) = (Vec::new(), 0);
        while at < bytes.len() {
            let n = rng.random_range(1..150).min(bytes.len() - at);
            reader.push(&bytes[at..at + n]);
            at += n;
            while let Some(p) = reader.next().unwrap() {
                got.push(p);
            }
        }
        assert_eq!((got.len(), reader.partial()), (sent.len(), 0));
        for (g, s) in got.iter().zip(&sent) {
            assert_eq!(
                (&g.data, &g.ahs, g.header.itt()),
                (&s.data, &s.ahs, s.header.itt()),
                "seed {seed}"
            );
            assert_eq!(
                (g.header.lun(), g.header.cdb()),
                (s.header.lun(), s.header.cdb())
            );
        }
    }
}

#[test]
fn a_flipped_bit_fails_its_digest_and_reading_continues_after_a_data_digest_error() {
    let both = Digests {
        header: true,
        data: true,
    };
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let pdu = Pdu {
            ahs: Default::default(),
            ..Pdu::new(random_pdu(&mut rng).header, vec![7; 40])
        };
        let mut bytes = Vec::new();
        write(&pdu, both, &mut bytes);
        let next = bytes.clone();
        // Excludes the length fields: a wrong length moves the digests.
        let at = loop {
            let at = rng.random_range(0..bytes.len());
            if !(4..8).contains(&at) {
                break at;
            }
        };
        bytes[at] ^= 1 << rng.random_range(0..8);
        bytes.extend(next);
        let mut reader = Reader::new(4096);
        reader.digests = both;
        reader.push(&bytes);
        if at < 52 {
            assert_eq!(reader.next(), Err(PduError::HeaderDigest), "byte {at}");
        } else {
            assert!(
                matches!(reader.next(), Err(PduError::DataDigest(h)) if h.itt() == pdu.header.itt())
            );
            assert_eq!(reader.next().unwrap().unwrap().data, pdu.data);
        }
    }
}

#[test]
fn an_excessive_length_is_an_error_as_soon_as_the_header_arrives() {
    let mut header = Header::new(Opcode::DataOut).0;
    header[5..8].copy_from_slice(&[0xff; 3]);
    let mut reader = Reader::new(8192);
    reader.push(&header);
    assert_eq!(
        reader.next(),
        Err(PduError::TooLong {
            length: (1 << 24) - 1,
            limit: 8192
        })
    );
}

#[test]
fn random_input_never_panics_in_reader_and_login() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut noise = vec![0; rng.random_range(0..3000)];
        rng.fill_bytes(&mut noise);
        let mut reader = Reader::new(1024);
        reader.digests = digests(seed);
        reader.push(&noise);
        while let Ok(Some(_)) = reader.next() {}
        let mut login = Login::new(Portal::default());
        for _ in 0..5 {
            let mut pdu = random_pdu(&mut rng);
            if rng.random() {
                let text: &[u8] =
                    b"InitiatorName=a\0SessionType=Discovery\0AuthMethod=CHAP,None\0CHAP_A=5\0";
                pdu.data = text[..rng.random_range(0..text.len())].to_vec().into();
            }
            login.request(&pdu, [1; 17], (1, 1, 1));
        }
    }
}
