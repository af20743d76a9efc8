use anyhow::Context;
use std::{io, net::SocketAddr};
use tgw_spread::message::Datagram;
use tgw_wire::{Error, Keys};
use tokio::net::UdpSocket;

/// Largest packet that is read. A send whose request is larger is made on a connection of this VM.
pub(crate) const MAX_PACKET_BYTES: usize = 8 << 10;

/// Socket for packets exchanged with other VMs.
pub(crate) struct Packets {
    socket: UdpSocket,
    keys: Keys,
}

impl Packets {
    /// Errors: the address is in use or does not belong to this machine.
    pub(crate) async fn bind(addr: SocketAddr, keys: Keys) -> anyhow::Result<Self> {
        let context = || format!("cannot listen for peers' packets at {addr}");
        let socket = UdpSocket::bind(addr).await.with_context(context)?;
        Ok(Self { socket, keys })
    }

    /// Sends a packet. Errors are only logged, since any packet may be lost on its way.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let frame = match tgw_wire::encode(&self.keys, datagram) {
            Ok(frame) => frame,
            Err(error) => return tracing::debug!(%error, %to, "cannot encode packet"),
        };
        if let Err(error) = self.socket.try_send_to(&frame, to) {
            tracing::debug!(%error, %to, "cannot send packet");
        }
    }

    /// Receives the next packet into `buffer` and decodes it, or returns why it was refused.
    pub(crate) async fn receive(
        &self,
        buffer: &mut [u8],
    ) -> io::Result<(Result<Datagram, Error>, SocketAddr)> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        Ok((tgw_wire::decode(&self.keys, &buffer[..length]), from))
    }

    /// The keys that sign frames.
    pub(crate) fn keys(&self) -> &Keys {
        &self.keys
    }
}
