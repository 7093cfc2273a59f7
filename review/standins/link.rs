//! Link to the store that can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Link that can be cut: nothing passes then, and channels hang.
pub struct Link {
    cut: AtomicBool,
    pub address: SocketAddr,
}

impl Link {
    pub fn start(target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self { cut: AtomicBool::new(false), address: listener.local_addr()? });
        let accepting = link.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = accepting.clone();
                std::thread::spawn(move || {
                    link.wait();
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
                    let back = link.clone();
                    std::thread::spawn(move || back.copy(far2, near2));
                    link.copy(near, far);
                });
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    fn wait(&self) {
        while self.cut.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        _ = to.set_nodelay(true);
        let mut buffer = [0; 16 << 10];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            self.wait();
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        self.wait();
        _ = to.shutdown(Shutdown::Both);
        _ = from.shutdown(Shutdown::Both);
    }
}
