/* TCP proxy that forwards connections to an upstream address and injects faults. */
#pragma once

#include <netinet/in.h>

#include "standin.h"

/**
 * struct TcpPipe - one listening address and its faults
 * @standin: event loop
 * @listener: listening socket
 * @connection_list: list of open connections
 * @name: name used in control commands
 * @upstream: address that connections are forwarded to
 * @held: forwarding is paused in both directions; no data is lost
 * @refused: new connections are closed at once
 * @lost_answers: number of answers still to lose; the connection is closed when the answer arrives
 * @delay_us: pause after each forwarded chunk
 * @connections: number of accepted connections
 * @answers_lost: number of answers lost
 */
typedef struct
{
  Standin *standin;
  int listener;
  char name[KQ_NAME_BYTES];
  struct sockaddr_in upstream;
  bool held;
  bool refused;
  unsigned lost_answers;
  KqTime delay_us;
  uint64_t connections;
  uint64_t answers_lost;
  struct TcpConnection *connection_list;
} TcpPipe;

/** tcp_pipe_new - Return: (owned by @standin) a listening proxy; exits the process on failure */
TcpPipe *tcp_pipe_new (Standin *standin, const char *name, const struct sockaddr_in *listen,
                       const struct sockaddr_in *upstream);

/** tcp_pipe_reset - closes all connections */
void tcp_pipe_reset (TcpPipe *pipe);

/** tcp_pipe_hold - pauses or resumes forwarding on all connections */
void tcp_pipe_hold (TcpPipe *pipe, bool held);
