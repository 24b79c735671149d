//! Progress of saving the departure of the backend server in the store.

use std::time;

use damasktrack_membership::server_departure;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Longest wait for the store before a departure is acknowledged. The backend server discards an acknowledgement that
/// arrives a second after its message.
const SAVE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Whether the store has a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaveResult {
    /// The store has it.
    Saved,
    /// The store did not confirm it in time. Only this process and the daemons that its gossip reached know it.
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
    /// Waits until the store has this departure or a later one, but not longer than an acknowledgement may take.
    pub async fn save(&self, departure: server_departure::ServerDeparture) -> SaveResult {
        let mut saved = self.saved.subscribe();
        let wanted = Some(departure);
        if *saved.borrow() < wanted {
            self.due.notify_one();
        }
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
