/* libmicrohttpd runs without its own threads: tevent polls its epoll descriptor. If the handler
 * returns without a response, the connection is suspended. A later response resumes the connection;
 * libmicrohttpd then calls the access handler again, which queues the response. */

#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/http_server.h"
#include "kumquat/internal/udp_socket.h"

#define BODY_BYTES_MAX     ((size_t)2 * 1024 * 1024) /* a value of 1 MB encoded as base64 fits */
#define CONNECTIONS_MAX    256
#define CONNECTION_IDLE_S  60
#define STREAM_BLOCK_BYTES 4096

struct KqHttpServer
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_timer *timer;
  KqHttpRequest *requests;
  KqHttpHandler handler;
  void *data;
  uint16_t port;
  bool running;
  bool resumed;
  bool destroying;
  size_t body_limit;
};

/**
 * struct KqHttpRequest - a request, from its first byte until the response was sent
 * @server: (borrowed): the server
 * @prev: previous request in the server's list
 * @next: next request in the server's list
 * @connection: (borrowed): its connection
 * @method: copy of the HTTP method
 * @path: copy of the path
 * @body: the part of the body received so far, NUL-terminated
 * @size: size of @body in bytes
 * @capacity: allocated size of @body in bytes
 * @too_large: the body exceeded the limit of the server and was discarded
 * @handled: the handler was called
 * @suspended: the connection is suspended until there is a response or more stream data
 * @status: HTTP status of the response; 0 before it is known
 * @response: (owned): the response, until it is queued
 * @streaming: the response is a stream
 * @stream: (nullable): stream data that has not been sent
 * @stream_ended: no more stream data will be written
 * @on_closed: (nullable): called when the stream has ended
 * @closed_data: context pointer of @on_closed
 */
struct KqHttpRequest
{
  KqHttpServer *server;
  KqHttpRequest *prev;
  KqHttpRequest *next;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  char *body;
  size_t size;
  size_t capacity;
  bool too_large;
  bool handled;
  bool suspended;
  unsigned status;
  struct MHD_Response *response;
  bool streaming;
  char *stream;
  bool stream_ended;
  void (*on_closed) (KqHttpRequest *request, void *data);
  void *closed_data;
};

static void set_timer (KqHttpServer *server, unsigned long long ms);
static void schedule_timer (KqHttpServer *server);

static void
run (KqHttpServer *server)
{
  server->running = true;
  server->resumed = false;
  MHD_run (server->daemon);
  server->running = false;
  /* MHD_get_timeout() does not report connections that were resumed within MHD_run(). */
  if (server->resumed)
    set_timer (server, 0);
  else
    schedule_timer (server);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqHttpServer *server = data;
  (void)ev;
  (void)timer;
  (void)now;
  server->timer = NULL;
  run (server);
}

static void
on_readable (struct tevent_context *ev, struct tevent_fd *fd, uint16_t flags, void *data)
{
  (void)ev;
  (void)fd;
  (void)flags;
  run (data);
}

static void
set_timer (KqHttpServer *server, unsigned long long ms)
{
  TALLOC_FREE (server->timer);
  struct timeval when =
      tevent_timeval_current_ofs ((uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000));
  server->timer = tevent_add_timer (server->ev, server, when, on_timer, server);
}

static void
schedule_timer (KqHttpServer *server)
{
  MHD_UNSIGNED_LONG_LONG ms;
  if (MHD_get_timeout (server->daemon, &ms) == MHD_YES)
    set_timer (server, ms);
}

static void
resume_request (KqHttpRequest *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  request->server->resumed = true;
  MHD_resume_connection (request->connection);
  if (!request->server->running && !request->server->destroying)
    set_timer (request->server, 0);
}

static KqHttpRequest *
new_request (KqHttpServer *server, struct MHD_Connection *connection, const char *path,
             const char *method)
{
  KqHttpRequest *request = talloc_zero (server, KqHttpRequest);
  if (request == NULL)
    return NULL;
  request->server = server;
  request->connection = connection;
  request->method = talloc_strdup (request, method);
  request->path = talloc_strdup (request, path);
  request->body = talloc_strdup (request, "");
  request->next = server->requests;
  if (request->next != NULL)
    request->next->prev = request;
  server->requests = request;
  return request;
}

static void
free_request (KqHttpRequest *request)
{
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    request->server->requests = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  talloc_free (request);
}

static void
append_body (KqHttpRequest *request, const char *bytes, size_t size)
{
  if (request->too_large || request->size + size > request->server->body_limit)
    {
      request->too_large = true;
      return;
    }
  /* Grows by half at least, so that a body of many parts is copied a constant number of times. */
  size_t needed = request->size + size + 1;
  if (needed > request->capacity)
    {
      request->capacity = needed + request->capacity / 2;
      request->body = talloc_realloc (request, request->body, char, request->capacity);
    }
  memcpy (request->body + request->size, bytes, size);
  request->size += size;
  request->body[request->size] = '\0';
}

static enum MHD_Result
queue_response (KqHttpRequest *request)
{
  struct MHD_Response *response = request->response;
  request->response = NULL;
  enum MHD_Result result = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  return result;
}

static void
respond_too_large (KqHttpRequest *request)
{
  char text[160];
  const char *length = kq_http_request_header (request, "Content-Length");
  int size = snprintf (text, sizeof text,
                       "{\"error\":\"body is too large: %.20s bytes; send at most %zu\"}\n",
                       length == NULL ? "unknown" : length, request->server->body_limit);
  kq_http_respond (request, MHD_HTTP_CONTENT_TOO_LARGE, "application/json", text, (size_t)size);
}

static void
handle_request (KqHttpRequest *request)
{
  KqHttpServer *server = request->server;
  request->handled = true;
  if (request->too_large)
    respond_too_large (request);
  else
    server->handler (request, request->method, request->path, request->body, request->size,
                     server->data);
}

static enum MHD_Result
on_access (void *data, struct MHD_Connection *connection, const char *path, const char *method,
           const char *version, const char *upload, size_t *upload_size, void **request_slot)
{
  KqHttpRequest *request = *request_slot;
  (void)version;
  if (request == NULL)
    {
      *request_slot = new_request (data, connection, path, method);
      return *request_slot == NULL ? MHD_NO : MHD_YES;
    }
  if (*upload_size > 0)
    {
      append_body (request, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (!request->handled)
    handle_request (request);
  if (request->response != NULL)
    return queue_response (request);
  request->suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **request_slot,
              enum MHD_RequestTerminationCode code)
{
  KqHttpRequest *request = *request_slot;
  (void)data;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  *request_slot = NULL;
  if (request->on_closed != NULL)
    request->on_closed (request, request->closed_data);
  free_request (request);
}

static int
listen_on (const KqAddress *listen_address, int *fd)
{
  KqSocketAddress address;
  int on = 1;
  int off = 0;
  socklen_t size = kq_address_to_sockaddr (listen_address, &address);
  *fd = socket (address.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd < 0 || setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0)
    return -1;
  if (address.any.sa_family == AF_INET6 &&
      setsockopt (*fd, IPPROTO_IPV6, IPV6_V6ONLY, &off, sizeof off) < 0)
    return -1;
  if (bind (*fd, &address.any, size) < 0 || listen (*fd, CONNECTIONS_MAX) < 0)
    return -1;
  return 0;
}

static int
open_socket (const KqAddress *listen_address, KqHttpServer *server, KqError *error)
{
  char text[KQ_ADDRESS_TEXT_BYTES];
  KqSocketAddress bound;
  KqAddress address;
  socklen_t size = sizeof bound;
  int fd;
  if (listen_on (listen_address, &fd) < 0 || getsockname (fd, &bound.any, &size) < 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "cannot listen on %s: %s; free the port or set another address",
                    kq_address_format (listen_address, text), strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  kq_address_from_sockaddr (&bound, &address);
  server->port = address.port;
  return fd;
}

/* libmicrohttpd requires that suspended connections are resumed before MHD_stop_daemon(). */
static int
destroy (KqHttpServer *server)
{
  server->destroying = true;
  for (KqHttpRequest *request = server->requests; request != NULL; request = request->next)
    {
      request->on_closed = NULL;
      resume_request (request);
    }
  MHD_stop_daemon (server->daemon);
  return 0;
}

static int
start_daemon (KqHttpServer *server, int fd)
{
  server->daemon =
      MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, server,
                        MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
                        server, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
                        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_IDLE_S, MHD_OPTION_END);
  if (server->daemon == NULL)
    return -1;
  talloc_set_destructor (server, destroy);
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == NULL || tevent_add_fd (server->ev, server, info->epoll_fd, TEVENT_FD_READ,
                                     on_readable, server) == NULL)
    return -1;
  return 0;
}

KqHttpServer *
kq_http_server_new (const void *parent, struct tevent_context *ev, const KqAddress *listen_address,
                    KqHttpHandler handler, void *data, KqError *error)
{
  KqHttpServer *server = talloc_zero (parent, KqHttpServer);
  server->ev = ev;
  server->body_limit = BODY_BYTES_MAX;
  server->handler = handler;
  server->data = data;
  int fd = open_socket (listen_address, server, error);
  if (fd < 0)
    goto error;
  if (start_daemon (server, fd) < 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "cannot start the HTTP server; raise the open file limit");
      if (server->daemon == NULL)
        close (fd);
      goto error;
    }
  return server;

error:
  talloc_free (server);
  return NULL;
}

void
kq_http_server_set_body_limit (KqHttpServer *server, size_t limit)
{
  server->body_limit = limit;
}

uint16_t
kq_http_server_port (const KqHttpServer *server)
{
  return server->port;
}

const char *
kq_http_query_parameter (KqHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
kq_http_request_header (KqHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

void
kq_http_respond (KqHttpRequest *request, unsigned status, const char *content_type,
                 const char *body, size_t size)
{
  if (request->response != NULL)
    return;
  request->status = status;
  request->response =
      MHD_create_response_from_buffer (size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  resume_request (request);
}

static ssize_t
read_stream (void *data, uint64_t position, char *out, size_t capacity)
{
  KqHttpRequest *request = data;
  size_t size = request->stream == NULL ? 0 : talloc_get_size (request->stream);
  (void)position;
  if (size == 0 && request->stream_ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (size == 0)
    {
      request->suspended = true;
      MHD_suspend_connection (request->connection);
      return 0;
    }
  size_t copied_size = size < capacity ? size : capacity;
  memcpy (out, request->stream, copied_size);
  memmove (request->stream, request->stream + copied_size, size - copied_size);
  if (copied_size == size)
    TALLOC_FREE (request->stream);
  else
    request->stream = talloc_realloc (request, request->stream, char, size - copied_size);
  return (ssize_t)copied_size;
}

void
kq_http_stream_begin (KqHttpRequest *request, const char *content_type,
                      void (*on_closed) (KqHttpRequest *request, void *data), void *data)
{
  request->streaming = true;
  request->on_closed = on_closed;
  request->closed_data = data;
  request->status = MHD_HTTP_OK;
  request->response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                                         read_stream, request, NULL);
  MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  resume_request (request);
}

void
kq_http_stream_write (KqHttpRequest *request, const char *bytes, size_t size)
{
  size_t pending_size = request->stream == NULL ? 0 : talloc_get_size (request->stream);
  request->stream = talloc_realloc (request, request->stream, char, pending_size + size);
  memcpy (request->stream + pending_size, bytes, size);
  resume_request (request);
}

void
kq_http_stream_end (KqHttpRequest *request)
{
  request->stream_ended = true;
  resume_request (request);
}
