/* A call has exclusive use of a connection until its response is complete. The connection is then
 * kept idle for the next call to the same address. Timeouts use the monotonic clock. */

#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/http_client.h"
#include "kumquat/internal/timer.h"
#include "kumquat/internal/udp_socket.h"

#define CONNECT_TIMEOUT_US   (1000 * KQ_MS) /* a reachable peer accepts within one round trip */
#define KEEPALIVE_INTERVAL_S 5 /* TCP keepalive time and interval, to detect a dead peer */
#define BODY_BYTES_MAX       ((size_t)64 * 1024 * 1024)
#define EXTENDED_TIMEOUT_US  (30 * KQ_SECOND) /* 4 MiB as base64 take 5 s at 10 Mbit/s */
#define READ_BYTES           16384
#define IDLE_CONNECTIONS_MAX 4  /* idle connections kept for reuse */
#define NAME_BYTES           32 /* longest header name that is compared, with NUL */
#define NUMBER_DIGITS_MAX    18 /* longest decimal number that always fits */

/**
 * struct Connection - a TCP connection
 * @call: (nullable): the call that uses it; NULL when idle
 * @is_reused: it was established by an earlier call
 */
typedef struct Connection
{
  LIST_ENTRY (Connection) link;
  KqHttpClient *client;
  KqAddress address;
  int fd;
  struct tevent_fd *event;
  KqHttpCall *call;
  bool is_reused;
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
 * @may_retry: the request may be retried once on a new connection
 * @new_connection: see KqHttpParams
 * @complete: the whole response was received
 * @keep_alive: the connection can be reused (HTTP keep-alive)
 * @call_deadline: deadline of the whole call
 * @extension_us: time by which each part of the response moves @call_deadline; 0 for none
 * @last_deadline: limit of @call_deadline
 * @next_timeout: when the call times out: @call_deadline, or earlier while connecting
 * @failure: (nullable): error to report at @next_timeout; NULL: the call succeeded
 * @number_header: see KqHttpParams
 * @header_name: name of the header that is being received, truncated
 * @header_complete: its name is complete, the value follows
 * @number: value of @number_header so far
 * @number_digits: digits of it; above NUMBER_DIGITS_MAX: it is no valid number
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
  bool may_retry;
  bool new_connection;
  bool complete;
  bool keep_alive;
  KqTime call_deadline;
  KqTime extension_us;
  KqTime last_deadline;
  KqTime next_timeout;
  const char *failure;
  const char *number_header;
  char header_name[NAME_BYTES];
  bool header_complete;
  uint64_t number;
  unsigned number_digits;
  http_parser parser;
  char *body;
  size_t body_size;
  size_t body_capacity;
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
    if (call->next_timeout < next)
      next = call->next_timeout;
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
close_idle_connection (Connection *connection)
{
  LIST_REMOVE (connection, link);
  connection->client->idle_count--;
  talloc_free (connection);
}

static Connection *
reuse_idle_connection (KqHttpClient *client, const KqAddress *address)
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
set_socket_options (int fd)
{
  int on = 1;
  int seconds = KEEPALIVE_INTERVAL_S;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
}

/* Starts to connect. Return: (owned by @client) the connection, or NULL with errno set */
static Connection *
open_connection (KqHttpClient *client, const KqAddress *address)
{
  KqSocketAddress peer;
  socklen_t length = kq_address_to_sockaddr (address, &peer);
  int fd = socket (peer.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  set_socket_options (fd);
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

/* Finishes the call in the next iteration of the event loop; @error_text is NULL on success. */
static void
schedule_finish (KqHttpCall *call, const char *error_text)
{
  call->failure = error_text;
  call->next_timeout = 0;
}

static void
start_call (KqHttpCall *call)
{
  KqTime now = kq_clock_now ();
  call->written = 0;
  call->received = false;
  call->header_name[0] = '\0';
  call->header_complete = false;
  call->number = 0;
  call->number_digits = 0;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  call->connection =
      call->new_connection ? NULL : reuse_idle_connection (call->client, &call->address);
  if (call->connection == NULL)
    call->connection = open_connection (call->client, &call->address);
  if (call->connection == NULL)
    {
      /* Deferred, because kq_http_call() has not returned the call yet. */
      schedule_finish (call, strerror (errno));
      set_timer (call->client);
      return;
    }
  call->connected = call->connection->is_reused;
  call->failure = "Timeout was reached";
  call->next_timeout = call->call_deadline;
  if (!call->connected && now + CONNECT_TIMEOUT_US < call->next_timeout)
    call->next_timeout = now + CONNECT_TIMEOUT_US;
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
  if (!keep || client->idle_count >= IDLE_CONNECTIONS_MAX)
    {
      talloc_free (connection);
      return;
    }
  connection->is_reused = true;
  tevent_fd_set_flags (connection->event, TEVENT_FD_READ);
  LIST_INSERT_HEAD (&client->idle, connection, link);
  client->idle_count++;
}

static void
finish_call (KqHttpCall *call, const char *failure)
{
  KqHttpClient *client = call->client;
  KqHttpResult result = { .answered = failure == NULL,
                          .sent = call->written > 0,
                          .status = call->parser.status_code,
                          .body = call->body == NULL ? "" : call->body,
                          .size = call->body_size,
                          .number = call->number_digits <= NUMBER_DIGITS_MAX ? call->number : 0,
                          .failure = failure == NULL ? "" : failure };
  release_connection (call, failure == NULL && call->keep_alive && !call->new_connection);
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
handle_broken_connection (KqHttpCall *call, const char *error_text)
{
  if (!call->may_retry || !call->connection->is_reused || call->received)
    {
      finish_call (call, error_text);
      return;
    }
  call->may_retry = false;
  call->new_connection = true;
  release_connection (call, false);
  start_call (call);
}

static void
send_request (KqHttpCall *call)
{
  Connection *connection = call->connection;
  int error_code = 0;
  socklen_t length = sizeof error_code;
  if (!call->connected)
    {
      getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error_code, &length);
      if (error_code != 0)
        {
          finish_call (call, strerror (error_code));
          return;
        }
      call->connected = true;
      call->next_timeout = call->call_deadline;
      set_timer (call->client);
    }
  ssize_t sent = send (connection->fd, call->request + call->written, call->size - call->written,
                       MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN)
    {
      handle_broken_connection (call, strerror (errno));
      return;
    }
  call->written += sent > 0 ? (size_t)sent : 0;
  bool all = call->written == call->size;
  tevent_fd_set_flags (connection->event, all ? TEVENT_FD_READ : TEVENT_FD_READ | TEVENT_FD_WRITE);
}

/* Parts of a header's name arrive in any number of pieces, and so do parts of its value. */
static int
on_header_name (http_parser *parser, const char *text, size_t size)
{
  KqHttpCall *call = parser->data;
  if (call->header_complete)
    call->header_name[0] = '\0';
  call->header_complete = false;
  size_t used = strlen (call->header_name);
  for (size_t i = 0; i < size && used < NAME_BYTES - 1; i++)
    call->header_name[used++] = text[i];
  call->header_name[used] = '\0';
  return 0;
}

static int
on_header_value (http_parser *parser, const char *text, size_t size)
{
  KqHttpCall *call = parser->data;
  bool begins = !call->header_complete;
  call->header_complete = true;
  if (call->number_header == NULL || strcasecmp (call->header_name, call->number_header) != 0)
    return 0;
  /* Of two headers neither is known to be right; their digits must not form one number. */
  if (begins && call->number_digits > 0)
    call->number_digits = NUMBER_DIGITS_MAX + 1;
  for (size_t i = 0; i < size; i++)
    {
      bool digit = text[i] >= '0' && text[i] <= '9' && call->number_digits <= NUMBER_DIGITS_MAX;
      call->number_digits = digit ? call->number_digits + 1 : NUMBER_DIGITS_MAX + 1;
      if (call->number_digits > NUMBER_DIGITS_MAX)
        return 0;
      call->number = 10 * call->number + (uint64_t)(text[i] - '0');
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t size)
{
  KqHttpCall *call = parser->data;
  if (call->chunk != NULL)
    return call->chunk (bytes, size, call->data) ? 0 : -1;
  if (call->body_size + size > BODY_BYTES_MAX)
    return -1;
  /* Grows by half at least, so that a body of many parts is copied a constant number of times. */
  size_t needed = call->body_size + size + 1;
  if (needed > call->body_capacity)
    {
      call->body_capacity = needed + call->body_capacity / 2;
      call->body = talloc_realloc (call, call->body, char, call->body_capacity);
    }
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
  call->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static void
extend_deadline (KqHttpCall *call)
{
  KqTime deadline = kq_clock_now () + call->extension_us;
  if (call->extension_us == 0)
    return;
  call->call_deadline = deadline < call->last_deadline ? deadline : call->last_deadline;
  call->next_timeout = call->call_deadline;
  set_timer (call->client);
}

static void
receive_response (KqHttpCall *call)
{
  static const http_parser_settings settings = { .on_header_field = on_header_name,
                                                 .on_header_value = on_header_value,
                                                 .on_body = on_body,
                                                 .on_message_complete = on_complete };
  char bytes[READ_BYTES];
  ssize_t size = recv (call->connection->fd, bytes, sizeof bytes, 0);
  if (size < 0 && errno == EAGAIN)
    return;
  if (size < 0)
    {
      handle_broken_connection (call, strerror (errno));
      return;
    }
  call->received = call->received || size > 0;
  if (size > 0)
    extend_deadline (call);
  http_parser_execute (&call->parser, &settings, bytes, (size_t)size);
  enum http_errno error_code = HTTP_PARSER_ERRNO (&call->parser);
  if (call->complete && call->chunk != NULL)
    {
      /* Deferred, so that the owner of a stream can process buffered chunks first. */
      tevent_fd_set_flags (call->connection->event, 0);
      schedule_finish (call, NULL);
      set_timer (call->client);
    }
  else if (call->complete)
    finish_call (call, NULL);
  else if (error_code != HPE_OK)
    finish_call (call, http_errno_description (error_code));
  else if (size == 0)
    handle_broken_connection (call, "the peer closed the connection");
}

static void
on_event (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  Connection *connection = data;
  (void)ev;
  (void)event;
  if (connection->call == NULL)
    close_idle_connection (connection);
  else if (!connection->call->connected || (flags & TEVENT_FD_WRITE) != 0)
    send_request (connection->call);
  else
    receive_response (connection->call);
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
    if (call->next_timeout <= now)
      break;
  }
  if (call == NULL)
    set_timer (client);
  else
    finish_call (call, call->failure);
}

static int
destroy_client (KqHttpClient *client)
{
  TALLOC_FREE (client->call_parent);
  while (!LIST_EMPTY (&client->idle))
    close_idle_connection (LIST_FIRST (&client->idle));
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
  if (params->new_connection)
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
  call->new_connection = params->new_connection;
  call->may_retry = strcmp (params->method, "GET") == 0;
  call->number_header = params->number_header;
  call->chunk = params->chunk;
  call->done = params->done;
  call->data = params->data;
  call->call_deadline = params->timeout_us > 0 ? kq_clock_now () + params->timeout_us : KQ_NEVER;
  call->extension_us = params->extend_timeout ? params->timeout_us : 0;
  call->last_deadline = kq_clock_now () + EXTENDED_TIMEOUT_US;
  write_request (call, params);
  LIST_INSERT_HEAD (&client->calls, call, link);
  talloc_set_destructor (call, destroy_call);
  start_call (call);
  return call;
}
