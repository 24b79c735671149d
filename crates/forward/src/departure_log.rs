//! Progress of saving the departure of the backend server in the store.

use std::time;

use damasktrack_membership::server_departure;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Longest wait for the store before a departure is left without an acknowledgement. The backend server discards one
/// that arrives a second after its message.
const SAVE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Whether the store has a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaveResult {
    /// The store has it.
    Saved,
    /// The store did not confirm it in time, or its start is unknown. Only this process and the daemons that its gossip
    /// reached know it.
    Unconfirmed,
}

/// Hands departures from the task that acknowledges them to the one that writes the member row, and back.
#[derive(Debug, Default)]
pub struct DepartureLog {
    due: Notify,
    /// Latest departure in this daemon's row in the store.
    saved: watch::Sender<Option<server_departure::ServerDeparture>>,
}

impl DepartureLog {
    /// Requests that the store gets this departure, unless it has it or a later one.
    pub fn request(&self, departure: server_departure::ServerDeparture) {
        if *self.saved.borrow() < Some(departure) {
            self.due.notify_one();
        }
    }

    /// Waits until the store has this departure or a later one, but not longer than an acknowledgement may take.
    pub async fn save(&self, departure: server_departure::ServerDeparture) -> SaveResult {
        let mut saved = self.saved.subscribe();
        self.request(departure.clone());
        let wanted = Some(departure);
        match tokio::time::timeout(SAVE_TIMEOUT, saved.wait_for(|saved| *saved >= wanted)).await {
            Ok(Ok(_saved)) => SaveResult::Saved,
            Ok(Err(_)) | Err(_) => SaveResult::Unconfirmed,
        }
    }

    /// Waits until a departure is to be written.
    pub async fn due(&self) {
        self.due.notified().await;
    }

    /// Records the departure in the row that the store has.
    pub fn note_saved(&self, departure: Option<server_departure::ServerDeparture>) {
        self.saved.send_replace(departure);
    }
}
