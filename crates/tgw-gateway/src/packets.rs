use anyhow::Context;
use std::{io, net::SocketAddr};
use tgw_spread::message::Datagram;
use tgw_wire::{Error, Keys};
use tokio::net::UdpSocket;

/// Largest packet that is read, in bytes; larger parts go on connections of this VM.
pub(crate) const PACKET: usize = 8 << 10;

/// Packets to and from other VMs.
pub(crate) struct Packets {
    socket: UdpSocket,
    keys: Keys,
}

impl Packets {
    /// Errors: the address is in use or not this machine's.
    pub(crate) async fn bind(addr: SocketAddr, keys: Keys) -> anyhow::Result<Self> {
        let place = || format!("cannot listen for peers' packets at {addr}");
        let socket = UdpSocket::bind(addr).await.with_context(place)?;
        Ok(Self { socket, keys })
    }

    /// Sends a packet; one that cannot be sent is lost, as any may be on its way.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let frame = match tgw_wire::seal(&self.keys, datagram) {
            Ok(frame) => frame,
            Err(error) => return tracing::debug!(%error, %to, "packet not made"),
        };
        if let Err(error) = self.socket.try_send_to(&frame, to) {
            tracing::debug!(%error, %to, "packet not sent");
        }
    }

    /// The next packet, read into `buffer`, or why it was refused.
    pub(crate) async fn receive(
        &self,
        buffer: &mut [u8],
    ) -> io::Result<(Result<Datagram, Error>, SocketAddr)> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        Ok((tgw_wire::open(&self.keys, &buffer[..length]), from))
    }

    /// The keys that frames are signed with.
    pub(crate) fn keys(&self) -> &Keys {
        &self.keys
    }
}
