/* A call has exclusive use of a connection until its response is complete. The connection is then
 * kept idle for the next call to the same address. Timeouts use the monotonic clock. */

#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/http_client.h"
#include "kumquat/internal/timer.h"
#include "kumquat/internal/udp_socket.h"

#define CONNECT_US     (1000 * KQ_MS) /* a reachable peer accepts within one round trip */
#define KEEPALIVE_S    5              /* TCP keepalive time and interval, to detect a dead peer */
#define BODY_BYTES_MAX ((size_t)64 * 1024 * 1024)
#define READ_BYTES     16384
#define IDLE_MAX       4 /* idle connections kept for reuse */

/**
 * struct Connection - a TCP connection
 * @call: (nullable): the call that uses it; NULL when idle
 * @used: it was established by an earlier call
 */
typedef struct Connection
{
  LIST_ENTRY (Connection) link;
  KqHttpClient *client;
  KqAddress address;
  int fd;
  struct tevent_fd *event;
  KqHttpCall *call;
  bool used;
} Connection;

struct KqHttpClient
{
  struct tevent_context *ev;
  KqTimer *timer;
  void *call_parent;
  LIST_HEAD (, KqHttpCall) calls;
  LIST_HEAD (, Connection) idle;
  unsigned idle_count;
};

/**
 * struct KqHttpCall - a call in progress
 * @client: (borrowed) (nullable): NULL once the call has finished
 * @connection: (nullable): the connection in use
 * @request: request header and body
 * @size: size of @request in bytes
 * @written: number of bytes of @request that were sent
 * @connected: the connection is established
 * @received: at least one byte of the response was received
 * @again: the request may be retried once on a new connection
 * @fresh: see KqHttpParams
 * @complete: the whole response was received
 * @kept: the connection can be reused (HTTP keep-alive)
 * @end_at: deadline of the whole call
 * @due_at: when the call times out: @end_at, or earlier while connecting
 * @failure: (nullable): error to report at @due_at; NULL: the call succeeded
 */
struct KqHttpCall
{
  LIST_ENTRY (KqHttpCall) link;
  KqHttpClient *client;
  Connection *connection;
  KqAddress address;
  char *request;
  size_t size;
  size_t written;
  bool connected;
  bool received;
  bool again;
  bool fresh;
  bool complete;
  bool kept;
  KqTime end_at;
  KqTime due_at;
  const char *failure;
  http_parser parser;
  char *body;
  size_t body_size;
  bool (*chunk) (const char *bytes, size_t size, void *data);
  void (*done) (const KqHttpResult *result, void *data);
  void *data;
};

static void on_event (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
                      void *data);

static void
set_timer (KqHttpClient *client)
{
  KqTime next = KQ_NEVER;
  KqHttpCall *call;
  LIST_FOREACH (call, &client->calls, link)
  {
    if (call->due_at < next)
      next = call->due_at;
  }
  kq_timer_set (client->timer, next);
}

static int
close_connection (Connection *connection)
{
  TALLOC_FREE (connection->event);
  close (connection->fd);
  return 0;
}

static void
drop_idle (Connection *connection)
{
  LIST_REMOVE (connection, link);
  connection->client->idle_count--;
  talloc_free (connection);
}

static Connection *
take_idle (KqHttpClient *client, const KqAddress *address)
{
  Connection *connection;
  LIST_FOREACH (connection, &client->idle, link)
  {
    if (!kq_address_equal (&connection->address, address))
      continue;
    LIST_REMOVE (connection, link);
    client->idle_count--;
    return connection;
  }
  return NULL;
}

static void
set_options (int fd)
{
  int on = 1;
  int seconds = KEEPALIVE_S;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
}

/* Starts to connect. Return: (owned by @client) the connection, or NULL with errno set */
static Connection *
connect_to (KqHttpClient *client, const KqAddress *address)
{
  KqSocketAddress peer;
  socklen_t length = kq_socket_address (address, &peer);
  int fd = socket (peer.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  set_options (fd);
  if (connect (fd, &peer.any, length) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  Connection *connection = talloc_zero (client, Connection);
  connection->client = client;
  connection->address = *address;
  connection->fd = fd;
  connection->event = tevent_add_fd (client->ev, connection, fd, 0, on_event, connection);
  talloc_set_destructor (connection, close_connection);
  return connection;
}

/* Finishes the call in the next iteration of the event loop; @why is NULL on success. */
static void
end_soon (KqHttpCall *call, const char *why)
{
  call->failure = why;
  call->due_at = 0;
}

static void
begin (KqHttpCall *call)
{
  KqTime now = kq_clock_now ();
  call->written = 0;
  call->received = false;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  call->connection = call->fresh ? NULL : take_idle (call->client, &call->address);
  if (call->connection == NULL)
    call->connection = connect_to (call->client, &call->address);
  if (call->connection == NULL)
    {
      /* Deferred, because kq_http_call() has not returned the call yet. */
      end_soon (call, strerror (errno));
      set_timer (call->client);
      return;
    }
  call->connected = call->connection->used;
  call->failure = "Timeout was reached";
  call->due_at = call->end_at;
  if (!call->connected && now + CONNECT_US < call->due_at)
    call->due_at = now + CONNECT_US;
  call->connection->call = call;
  /* tevent reports a refused connection only if TEVENT_FD_READ is set. */
  tevent_fd_set_flags (call->connection->event, TEVENT_FD_READ | TEVENT_FD_WRITE);
  set_timer (call->client);
}

static void
release_connection (KqHttpCall *call, bool keep)
{
  Connection *connection = call->connection;
  KqHttpClient *client = call->client;
  call->connection = NULL;
  if (connection == NULL)
    return;
  connection->call = NULL;
  if (!keep || client->idle_count >= IDLE_MAX)
    {
      talloc_free (connection);
      return;
    }
  connection->used = true;
  tevent_fd_set_flags (connection->event, TEVENT_FD_READ);
  LIST_INSERT_HEAD (&client->idle, connection, link);
  client->idle_count++;
}

static void
finish (KqHttpCall *call, const char *failure)
{
  KqHttpClient *client = call->client;
  KqHttpResult result = { .answered = failure == NULL,
                          .sent = call->written > 0,
                          .status = call->parser.status_code,
                          .body = call->body == NULL ? "" : call->body,
                          .size = call->body_size,
                          .failure = failure == NULL ? "" : failure };
  release_connection (call, failure == NULL && call->kept && !call->fresh);
  LIST_REMOVE (call, link);
  set_timer (client);
  call->client = NULL;
  talloc_steal (NULL, call);
  call->done (&result, call->data);
  talloc_free (call);
}

/* The peer may have closed an idle connection before it was reused. If no byte of the response was
 * received, a call that may be retried is sent again on a new connection. */
static void
end_broken (KqHttpCall *call, const char *why)
{
  if (!call->again || !call->connection->used || call->received)
    {
      finish (call, why);
      return;
    }
  call->again = false;
  call->fresh = true;
  release_connection (call, false);
  begin (call);
}

static void
send_request (KqHttpCall *call)
{
  Connection *connection = call->connection;
  int code = 0;
  socklen_t length = sizeof code;
  if (!call->connected)
    {
      getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &code, &length);
      if (code != 0)
        {
          finish (call, strerror (code));
          return;
        }
      call->connected = true;
      call->due_at = call->end_at;
      set_timer (call->client);
    }
  ssize_t sent = send (connection->fd, call->request + call->written, call->size - call->written,
                       MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN)
    {
      end_broken (call, strerror (errno));
      return;
    }
  call->written += sent > 0 ? (size_t)sent : 0;
  bool all = call->written == call->size;
  tevent_fd_set_flags (connection->event, all ? TEVENT_FD_READ : TEVENT_FD_READ | TEVENT_FD_WRITE);
}

static int
on_body (http_parser *parser, const char *bytes, size_t size)
{
  KqHttpCall *call = parser->data;
  if (call->chunk != NULL)
    return call->chunk (bytes, size, call->data) ? 0 : -1;
  if (call->body_size + size > BODY_BYTES_MAX)
    return -1;
  call->body = talloc_realloc (call, call->body, char, call->body_size + size + 1);
  memcpy (call->body + call->body_size, bytes, size);
  call->body_size += size;
  call->body[call->body_size] = '\0';
  return 0;
}

static int
on_complete (http_parser *parser)
{
  KqHttpCall *call = parser->data;
  call->complete = true;
  call->kept = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static void
receive_answer (KqHttpCall *call)
{
  static const http_parser_settings settings = { .on_body = on_body,
                                                 .on_message_complete = on_complete };
  char bytes[READ_BYTES];
  ssize_t size = recv (call->connection->fd, bytes, sizeof bytes, 0);
  if (size < 0 && errno == EAGAIN)
    return;
  if (size < 0)
    {
      end_broken (call, strerror (errno));
      return;
    }
  call->received = call->received || size > 0;
  http_parser_execute (&call->parser, &settings, bytes, (size_t)size);
  enum http_errno code = HTTP_PARSER_ERRNO (&call->parser);
  if (call->complete && call->chunk != NULL)
    {
      /* Deferred, so that the owner of a stream can process buffered chunks first. */
      tevent_fd_set_flags (call->connection->event, 0);
      end_soon (call, NULL);
      set_timer (call->client);
    }
  else if (call->complete)
    finish (call, NULL);
  else if (code != HPE_OK)
    finish (call, http_errno_description (code));
  else if (size == 0)
    end_broken (call, "the peer closed the connection");
}

static void
on_event (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  Connection *connection = data;
  (void)ev;
  (void)event;
  if (connection->call == NULL)
    drop_idle (connection);
  else if (!connection->call->connected || (flags & TEVENT_FD_WRITE) != 0)
    send_request (connection->call);
  else
    receive_answer (connection->call);
}

/* Finishes one call per invocation, because its callback may free the client. */
static void
on_timer (void *data)
{
  KqHttpClient *client = data;
  KqTime now = kq_clock_now ();
  KqHttpCall *call;
  LIST_FOREACH (call, &client->calls, link)
  {
    if (call->due_at <= now)
      break;
  }
  if (call == NULL)
    set_timer (client);
  else
    finish (call, call->failure);
}

static int
destroy_client (KqHttpClient *client)
{
  TALLOC_FREE (client->call_parent);
  while (!LIST_EMPTY (&client->idle))
    drop_idle (LIST_FIRST (&client->idle));
  return 0;
}

KqHttpClient *
kq_http_client_new (const void *parent, struct tevent_context *ev, KqError *error)
{
  KqHttpClient *client = talloc_zero (parent, KqHttpClient);
  client->ev = ev;
  client->call_parent = talloc_new (client);
  client->timer = kq_timer_new (client, ev, on_timer, client, error);
  if (client->timer == NULL)
    {
      talloc_free (client);
      return NULL;
    }
  talloc_set_destructor (client, destroy_client);
  return client;
}

static int
destroy_call (KqHttpCall *call)
{
  if (call->client == NULL)
    return 0;
  release_connection (call, false);
  LIST_REMOVE (call, link);
  set_timer (call->client);
  return 0;
}

static void
write_request (KqHttpCall *call, const KqHttpParams *params)
{
  char address[KQ_ADDRESS_TEXT_BYTES];
  size_t size = params->body == NULL ? 0 : strlen (params->body);
  char *text =
      talloc_asprintf (call, "%s %s HTTP/1.1\r\nHost: %s\r\nAccept: */*\r\n", params->method,
                       params->path, kq_address_format (&params->address, address));
  if (params->bearer != NULL)
    text = talloc_asprintf_append (text, "Authorization: Bearer %s\r\n", params->bearer);
  if (params->fresh)
    text = talloc_strdup_append (text, "Connection: close\r\n");
  if (params->body != NULL)
    text = talloc_asprintf_append (
        text, "Content-Type: application/json\r\nContent-Length: %zu\r\n", size);
  text = talloc_asprintf_append (text, "\r\n%s", params->body == NULL ? "" : params->body);
  call->request = text;
  call->size = strlen (text);
}

KqHttpCall *
kq_http_call (KqHttpClient *client, const KqHttpParams *params)
{
  KqHttpCall *call = talloc_zero (client->call_parent, KqHttpCall);
  call->client = client;
  call->address = params->address;
  call->fresh = params->fresh;
  call->again = strcmp (params->method, "GET") == 0;
  call->chunk = params->chunk;
  call->done = params->done;
  call->data = params->data;
  call->end_at = params->timeout_us > 0 ? kq_clock_now () + params->timeout_us : KQ_NEVER;
  write_request (call, params);
  LIST_INSERT_HEAD (&client->calls, call, link);
  talloc_set_destructor (call, destroy_call);
  begin (call);
  return call;
}
