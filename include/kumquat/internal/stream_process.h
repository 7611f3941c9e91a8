/* What the two daemons that balance streams have in common. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/internal/stream_adapter.h"
#include "kumquat/internal/stream_frame.h"
#include "kumquat/internal/timer.h"
#include "kumquat/settings.h"

#define KQ_STREAM_FRAME_BYTES 1536 /* a segment and the longest header of a frame */

/* Numbers under which the configuration of all streams and the directory of members are spread as
 * documents, and their epoch. */
#define KQ_ROUTES_DOCUMENT    1
#define KQ_DIRECTORY_DOCUMENT 2
#define KQ_DOCUMENTS_EPOCH    1

/**
 * struct KqStreamSocket - a datagram socket on the event loop
 * @fd: the descriptor
 * @receive: takes each datagram
 * @failed: (nullable): told that the peer of a connected socket refuses datagrams
 * @settled: (nullable): called after each batch
 * @data: context pointer of the callbacks
 */
typedef struct
{
  int fd;
  void (*receive) (const KqAddress *from, const uint8_t *bytes, size_t size, void *data);
  void (*failed) (void *data);
  void (*settled) (void *data);
  void *data;
} KqStreamSocket;

/** kq_stream_socket_open - binds @local, or connects to @peer when that is not NULL. Return: 0, or
 * -1 with @error set; @socket is closed with @parent */
int kq_stream_socket_open (const void *parent, struct tevent_context *ev, KqStreamSocket *socket,
                           const KqAddress *local, const KqAddress *peer, KqError *error);

/** kq_stream_socket_send - sends a datagram; one that the kernel does not take is lost like one
 * that the network drops */
void kq_stream_socket_send (const KqStreamSocket *socket, const KqAddress *to, const uint8_t *bytes,
                            size_t size);

/** kq_stream_send_frame - encodes and sends */
void kq_stream_send_frame (const KqStreamSocket *socket, const KqAddress *to,
                           const KqStreamFrame *frame);

/** kq_ipv4_address - Return: an address of 32 bits in host byte order as KqAddress */
KqAddress kq_ipv4_address (uint32_t ip, uint16_t port);

/** kq_stream_control_new - starts the control plane that @settings describe; @service is 0 for a
 * balancer. Return: see kq_control_new() */
KqControl *kq_stream_control_new (const void *parent, struct tevent_context *ev,
                                  const KqSettings *settings, KqRole role, uint32_t service,
                                  const KqControlOps *ops, void *data, KqError *error);

/** kq_stream_take_keys - gives a running control plane the keys of reloaded settings */
void kq_stream_take_keys (KqControl *control, const KqSettings *settings);

/** kq_stream_leave - tells the others that this process ends, and sets @timer for the time when
 * they know. Return: false when it has done so before: then they know */
bool kq_stream_leave (KqControl *control, KqTimer *timer);

/** kq_stream_check - checks what needs more than one setting; see KqProgramOps */
int kq_stream_check (const KqSettings *settings, const char *path, KqError *error);

/** kq_stream_woke - logs that the process goes on under another incarnation; see KqControlOps */
void kq_stream_woke (uint64_t incarnation, void *data);

/** kq_stream_log_malformed - logs that bytes of @from were refused */
void kq_stream_log_malformed (const KqAddress *from, const KqError *why);

/** kq_stream_log_event - writes a decision's event to the log */
void kq_stream_log_event (int level, const char *name, const char *details, void *data);
