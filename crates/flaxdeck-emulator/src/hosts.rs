//! Cache hosts, parents and the origin. Dispatchers use the line protocol on sockets; fills between hosts stay within
//! the process.

mod admission;
mod answers;
mod fills;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::state::SharedState;
use answers::{Answer, answer};

/// The largest accepted body of a request.
const MAX_BODY_BYTES: usize = 100_000;
/// The line end after a body.
const LINE_END: &[u8] = b"\r\n";

/// Opens a listener at an address, where port 0 lets the system choose. Must be called within a runtime.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves one host's listener until its incarnation ends.
pub(crate) async fn serve(
    world: Arc<SharedState>,
    id: String,
    listener: TcpListener,
    incarnation: u64,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = incarnation_ended(&world, &id, incarnation) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        if !admit_connection(&world, &id) {
            continue;
        }
        let (world, id) = (world.clone(), id.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = serve_connection(&world, &id, stream) => {}
                () = incarnation_ended(&world, &id, incarnation) => {}
            }
            close_connection(&world, &id, incarnation);
        });
    }
}

/// Counts a new connection and returns whether it is within the host's connection limit.
fn admit_connection(world: &SharedState, id: &str) -> bool {
    let now_ms = world.now();
    let mut state = world.lock();
    let Some(host) = state.hosts.get_mut(id) else {
        return false;
    };
    let admitted = host.connections < world.layout.max_host_connections;
    host.connections += u32::from(admitted);
    let connections = host.connections;
    let interval = state.interval(now_ms);
    interval.connections_opened += 1;
    interval.connections_refused += u32::from(!admitted);
    interval.peak_connections = interval.peak_connections.max(connections);
    admitted
}

fn close_connection(world: &SharedState, id: &str, incarnation: u64) {
    let mut state = world.lock();
    let host = state.hosts.get_mut(id);
    if let Some(host) = host.filter(|host| host.incarnation == incarnation) {
        host.connections = host.connections.saturating_sub(1);
    }
}

async fn incarnation_ended(world: &SharedState, id: &str, incarnation: u64) {
    loop {
        let notified = world.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let ended = match world.lock().hosts.get(id) {
            Some(host) => host.incarnation != incarnation || !host.up,
            None => true,
        };
        if ended {
            return;
        }
        notified.await;
    }
}

async fn serve_connection(world: &Arc<SharedState>, id: &str, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read);
    // A line received while a request was being answered. The dispatcher sends one at that time only to cancel.
    let mut next: Option<String> = None;
    loop {
        let line = match next.take() {
            Some(line) => line,
            None => read_line(&mut lines).await?,
        };
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["want", request, fields, length] => {
                let length = length.parse::<usize>().unwrap_or(0).min(MAX_BODY_BYTES);
                let mut body = vec![0; length + LINE_END.len()];
                lines.read_exact(&mut body).await?;
                let fields = parse_fields(fields);
                tokio::select! {
                    answer = answer(world, id, &fields, request) => {
                        if let Some(answer) = answer {
                            write_answer(&mut write, request, &answer).await?;
                        }
                    }
                    line = read_line(&mut lines) => {
                        next = Some(line?);
                        request_cancelled(world, id);
                    }
                }
            }
            ["there", tag] => {
                let healthy = format!("{tag} well - 0\r\n\r\n");
                write.write_all(healthy.as_bytes()).await?;
            }
            _ => {}
        }
    }
}

fn parse_fields(fields: &str) -> HashMap<String, String> {
    let pairs = fields.split(',').filter_map(|field| field.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

async fn write_answer(
    write: &mut OwnedWriteHalf,
    request: &str,
    answer: &Answer,
) -> io::Result<()> {
    let Answer {
        status,
        fields,
        body,
    } = answer;
    let head = format!("{request} {status} {fields} {}\r\n", body.len());
    let message = [head.as_bytes(), body, LINE_END].concat();
    write.write_all(&message).await
}

async fn read_line(lines: &mut BufReader<OwnedReadHalf>) -> io::Result<String> {
    let mut line = Vec::new();
    // Not cancel-safe, but a partial line is lost only when the connection ends or a request is answered meanwhile.
    if lines.read_until(b'\n', &mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Counts down the host's requests in flight for a request that was cancelled before its answer.
fn request_cancelled(world: &SharedState, id: &str) {
    if let Some(host) = world.lock().hosts.get_mut(id) {
        host.requests_in_flight = host.requests_in_flight.saturating_sub(1);
    }
}
