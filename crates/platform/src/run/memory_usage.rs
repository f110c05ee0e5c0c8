//! Measures what the memory of this process is used for, for the statistics log.
//!
//! [`MemoryUsage::measure`] sums the buffers of all connections by kind and adds the figures of the
//! allocator and of the operating system. The difference between the sum of the buffers and the
//! allocator's bytes in use is the state of the scheduler and the router; the difference between the
//! allocator's bytes in use and its heap is fragmentation.

use super::connection::{Connection, Role};
use super::connection_table::ConnectionTable;
use std::fmt;

/// The file in which Linux reports the memory of a process.
const STATUS_FILE: &str = "/proc/self/status";

/// Bytes of the buffers of all connections, by kind.
#[derive(Debug, Default)]
struct BufferBytes {
    client_read: usize,
    node_read: usize,
    discovery_read: usize,
    client_write: usize,
    node_write: usize,
    /// Frames that the router has put into the outboxes.
    outboxes: usize,
    /// Bytes that the readers have received and the owner has not processed.
    read_ahead: usize,
}

impl BufferBytes {
    fn of(connections: &ConnectionTable) -> Self {
        let mut bytes = BufferBytes::default();
        for (_, connection) in connections.iter() {
            bytes.add(connection);
        }
        bytes
    }

    fn add(&mut self, connection: &Connection) {
        let read = connection.read_buffer.capacity();
        let written = connection.write_buffer.capacity();
        match connection.role {
            Role::Client(_) => {
                self.client_read += read;
                self.client_write += written;
            }
            Role::Node(_) => {
                self.node_read += read;
                self.node_write += written;
            }
            Role::Discovery => self.discovery_read += read,
        }
        self.outboxes += connection.outbox.bytes();
        self.read_ahead += connection.gate.lock().unprocessed;
    }
}

/// The allocator's figures, in bytes.
#[derive(Debug, Default)]
struct HeapBytes {
    in_use: usize,
    free: usize,
    mapped: usize,
}

impl HeapBytes {
    #[cfg(target_env = "gnu")]
    fn measure() -> Self {
        // SAFETY: the function takes no arguments and only reads the allocator's state.
        let info = unsafe { libc::mallinfo2() };
        HeapBytes {
            in_use: info.uordblks,
            free: info.fordblks,
            mapped: info.hblkhd,
        }
    }

    #[cfg(not(target_env = "gnu"))]
    fn measure() -> Self {
        HeapBytes::default()
    }
}

/// What the memory of this process is used for at one time.
#[derive(Debug)]
pub(super) struct MemoryUsage {
    buffers: BufferBytes,
    heap: HeapBytes,
    connections: usize,
    /// Resident memory that belongs to this process alone, in kB, as the operating system reports it.
    anonymous_kb: u64,
    /// Peak of the resident memory in kB, which includes the pages of the program file.
    peak_kb: u64,
}

impl MemoryUsage {
    pub(super) fn measure(connections: &ConnectionTable) -> Self {
        let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
        MemoryUsage {
            buffers: BufferBytes::of(connections),
            heap: HeapBytes::measure(),
            connections: connections.iter().count(),
            anonymous_kb: status_kb(&status, "RssAnon:"),
            peak_kb: status_kb(&status, "VmHWM:"),
        }
    }
}

/// Returns a field of the status file, or zero if it is missing.
fn status_kb(status: &str, field: &str) -> u64 {
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(field));
    let number = value.and_then(|value| value.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

impl fmt::Display for MemoryUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let buffers = &self.buffers;
        write!(
            f,
            "memory connections={} client_read={} node_read={} discovery_read={} client_write={} \
             node_write={} outboxes={} read_ahead={} heap_in_use={} heap_free={} heap_mapped={} \
             anonymous_kb={} peak_kb={}",
            self.connections,
            buffers.client_read,
            buffers.node_read,
            buffers.discovery_read,
            buffers.client_write,
            buffers.node_write,
            buffers.outboxes,
            buffers.read_ahead,
            self.heap.in_use,
            self.heap.free,
            self.heap.mapped,
            self.anonymous_kb,
            self.peak_kb
        )
    }
}
