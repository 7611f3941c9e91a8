/* Carries TCP connections from one address to another through faults. */
#pragma once

#include <netinet/in.h>

#include "standin.h"

/**
 * struct TcpPipe - one listening address and its faults
 * @standin: the process
 * @listener: listening socket
 * @first: connections carried now
 * @name: name in control lines
 * @upstream: where connections are carried to
 * @held: bytes are held, neither delivered nor lost, in both directions
 * @refused: new connections are closed at once
 * @lost_answers: so many next answers are lost: the connection ends when the answer arrives
 * @delay_us: delay of every chunk
 * @connections: connections taken
 * @answers_lost: answers lost so far
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
  struct TcpCarried *first;
} TcpPipe;

/** tcp_pipe_new - Return: (owned by @standin) a listening pipe; a failure ends the process */
TcpPipe *tcp_pipe_new (Standin *standin, const char *name, const struct sockaddr_in *listen,
                       const struct sockaddr_in *upstream);

/** tcp_pipe_reset - ends all connections */
void tcp_pipe_reset (TcpPipe *pipe);

/** tcp_pipe_hold - holds or releases the bytes of all connections */
void tcp_pipe_hold (TcpPipe *pipe, bool held);
