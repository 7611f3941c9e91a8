#include "tcp_pipe.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define CHUNK_BYTES 65536

/**
 * struct TcpConnection - a proxied connection; index 0 is the client's side, index 1 the upstream's
 */
typedef struct TcpConnection
{
  TcpPipe *pipe;
  struct TcpConnection *next;
  int fd[2];
  struct tevent_fd *event[2];
} TcpConnection;

static int
connection_destroy (TcpConnection *conn)
{
  for (int side = 0; side < 2; side++)
    {
      TALLOC_FREE (conn->event[side]);
      close (conn->fd[side]);
    }
  for (TcpConnection **at = &conn->pipe->connection_list; *at != NULL; at = &(*at)->next)
    if (*at == conn)
      {
        *at = conn->next;
        break;
      }
  return 0;
}

/* Writes everything, blocking if need be; messages are small compared with the socket buffers. */
static bool
write_all (int fd, const uint8_t *bytes, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, bytes, size, MSG_NOSIGNAL);
      if (sent < 0 && errno != EINTR)
        return false;
      if (sent > 0)
        {
          bytes += sent;
          size -= (size_t)sent;
        }
    }
  return true;
}

static void
on_delay_over (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
               void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  TcpConnection *conn = data;
  for (int side = 0; side < 2; side++)
    tevent_fd_set_flags (conn->event[side], conn->pipe->held ? 0 : TEVENT_FD_READ);
}

static void
on_bytes (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)flags;
  TcpConnection *conn = data;
  TcpPipe *pipe = conn->pipe;
  int side = event == conn->event[0] ? 0 : 1;
  uint8_t bytes[CHUNK_BYTES];
  ssize_t got = read (conn->fd[side], bytes, sizeof bytes);
  if (got < 0 && errno == EINTR)
    return;
  if (got > 0 && side == 1 && pipe->lost_answers > 0)
    {
      pipe->lost_answers--;
      pipe->answers_lost++;
      got = 0;
    }
  if (got <= 0 || !write_all (conn->fd[1 - side], bytes, (size_t)got))
    {
      talloc_free (conn);
      return;
    }
  if (pipe->delay_us == 0)
    return;
  for (int i = 0; i < 2; i++)
    tevent_fd_set_flags (conn->event[i], 0);
  tevent_add_timer (ev, conn,
                    tevent_timeval_current_ofs ((uint32_t)(pipe->delay_us / KQ_SECOND),
                                                (uint32_t)(pipe->delay_us % KQ_SECOND)),
                    on_delay_over, conn);
}

static void
on_connection (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)event;
  (void)flags;
  TcpPipe *pipe = data;
  int client = accept4 (pipe->listener, NULL, NULL, SOCK_CLOEXEC);
  if (client < 0)
    return;
  pipe->connections++;
  int upstream = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (pipe->refused || upstream < 0 ||
      connect (upstream, (struct sockaddr *)&pipe->upstream, sizeof pipe->upstream) != 0)
    {
      close (client);
      if (upstream >= 0)
        close (upstream);
      return;
    }
  TcpConnection *conn = talloc_zero (pipe, TcpConnection);
  conn->pipe = pipe;
  conn->fd[0] = client;
  conn->fd[1] = upstream;
  conn->next = pipe->connection_list;
  pipe->connection_list = conn;
  talloc_set_destructor (conn, connection_destroy);
  for (int side = 0; side < 2; side++)
    conn->event[side] =
        tevent_add_fd (ev, conn, conn->fd[side], pipe->held ? 0 : TEVENT_FD_READ, on_bytes, conn);
}

TcpPipe *
tcp_pipe_new (Standin *standin, const char *name, const struct sockaddr_in *listen_at,
              const struct sockaddr_in *upstream)
{
  int on = 1;
  TcpPipe *pipe = talloc_zero (standin, TcpPipe);
  pipe->standin = standin;
  pipe->upstream = *upstream;
  snprintf (pipe->name, sizeof pipe->name, "%s", name);
  pipe->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (pipe->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (pipe->listener, (const struct sockaddr *)listen_at, sizeof *listen_at) != 0 ||
      listen (pipe->listener, SOMAXCONN) != 0)
    standin_fail (name, "choose an unused TCP address");
  tevent_add_fd (standin->ev, pipe, pipe->listener, TEVENT_FD_READ, on_connection, pipe);
  return pipe;
}

void
tcp_pipe_reset (TcpPipe *pipe)
{
  while (pipe->connection_list != NULL)
    talloc_free (pipe->connection_list);
}

void
tcp_pipe_hold (TcpPipe *pipe, bool held)
{
  pipe->held = held;
  for (TcpConnection *conn = pipe->connection_list; conn != NULL; conn = conn->next)
    for (int side = 0; side < 2; side++)
      tevent_fd_set_flags (conn->event[side], held ? 0 : TEVENT_FD_READ);
}
