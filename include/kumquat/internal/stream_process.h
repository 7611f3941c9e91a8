/* Functions that the balancer and the agent of streams share. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/internal/stream_adapter.h"
#include "kumquat/internal/stream_frame.h"
#include "kumquat/internal/timer.h"
#include "kumquat/settings.h"

#define KQ_STREAM_FRAME_BYTES 1536 /* largest segment plus longest frame header */

/* Document numbers under which the route configuration, the directory of members and the evacuated
 * failure domains are disseminated. The epoch of the latter two is KQ_DOCUMENT_EPOCH plus the era
 * of the store. The revision of a configuration is its version, which orders configurations also
 * when the store was restored; up to release 0.1 it was a revision of the store, under
 * KQ_DOCUMENT_EPOCH.
 */
#define KQ_ROUTES_DOCUMENT     1
#define KQ_DIRECTORY_DOCUMENT  2
#define KQ_EVACUATION_DOCUMENT 3
#define KQ_DOCUMENT_EPOCH      1
#define KQ_ROUTES_EPOCH        2

/* clang-format off */
#define KQ_SETTING_SPECS_STREAM_HTTP                                                               \
  { "http.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,                                          \
    "address of the readiness check and of /metrics" },                                            \
  { "http.metrics_address", KQ_SETTING_ADDRESS_LIST, false, 0, 1, "",                              \
    "additional address of /metrics, for collectors that expect a fixed port" }

#define KQ_SETTING_SPECS_FEATURES                                                                  \
  { "features.outlier_detection", KQ_SETTING_TEXT, false, 2, 4, "auto",                            \
    "limit new streams to targets that fail requests: auto, on or off" },                          \
  { "features.load_estimation", KQ_SETTING_TEXT, false, 2, 4, "auto",                              \
    "choose targets by the load expected now: auto, on or off" },                                  \
  { "features.overload_control", KQ_SETTING_TEXT, false, 2, 4, "auto",                             \
    "refuse early and share room fairly when a service is full: auto, on or off" }
/* clang-format on */

/**
 * struct KqStreamSocket - a datagram socket on the event loop
 * @fd: file descriptor
 * @before_batch: (nullable): called before the datagrams of one event are received
 * @receive: called for each datagram
 * @outdated: number of datagrams that may still have arrived before the process was paused; set by
 * kq_stream_socket_mark_outdated(), 0 once the socket was empty
 * @connection_refused: (nullable): called when the peer of a connected socket refused a datagram
 * (ECONNREFUSED)
 * @batch_done: (nullable): called after the datagrams of one event were received
 * @data: context pointer of the callbacks
 */
typedef struct
{
  int fd;
  unsigned outdated;
  void (*before_batch) (void *data);
  void (*receive) (const KqAddress *from, const uint8_t *bytes, size_t size, void *data);
  void (*connection_refused) (void *data);
  void (*batch_done) (void *data);
  void *data;
} KqStreamSocket;

/** kq_stream_socket_open - binds @local, or connects to @peer when that is not NULL. Return: 0, or
 * -1 with @error set; @socket is closed with @parent */
int kq_stream_socket_open (const void *parent, struct tevent_context *ev, KqStreamSocket *socket,
                           const KqAddress *local, const KqAddress *peer, KqError *error);

/** kq_stream_socket_mark_outdated - the process was paused, so the datagrams that the socket keeps
 * are as old as the pause is long */
void kq_stream_socket_mark_outdated (KqStreamSocket *socket);

/** kq_stream_socket_send - sends a datagram; an error of the kernel is treated like a loss in the
 * network */
void kq_stream_socket_send (const KqStreamSocket *socket, const KqAddress *to, const uint8_t *bytes,
                            size_t size);

/** kq_stream_send_frame - encodes @frame and sends it in one datagram */
void kq_stream_send_frame (const KqStreamSocket *socket, const KqAddress *to,
                           const KqStreamFrame *frame);

/** kq_ipv4_address - Return: the IPv4 address @ip (32 bits in host byte order) with @port */
KqAddress kq_ipv4_address (uint32_t ip, uint16_t port);

/** kq_stream_control_new - starts the control plane as configured in @settings; @service is 0 for a
 * balancer. Return: see kq_control_new() */
KqControl *kq_stream_control_new (const void *parent, struct tevent_context *ev,
                                  const KqSettings *settings, KqRole role, uint32_t service,
                                  const KqControlOps *ops, void *data, KqError *error);

/** kq_stream_update_control - applies the keys and seeds of reloaded settings to a
 * running control plane */
void kq_stream_update_control (KqControl *control, const KqSettings *settings);

/** kq_stream_leave - announces that this process leaves the membership, and sets @timer to the time
 * by which the announcement is sent. Return: false when this process had left before */
bool kq_stream_leave (KqControl *control, KqTimer *timer);

/** kq_stream_check_settings - validates settings that depend on each other; see KqProgramOps */
int kq_stream_check_settings (const KqSettings *settings, const char *path, KqError *error);

/**
 * kq_stream_features_read - reads the settings of KQ_SETTING_SPECS_FEATURES
 * @requested: what the deployment asks for; applies to parts that are set to "auto"
 */
KqStreamFeatures kq_stream_features_read (const KqSettings *settings, KqStreamFeatures requested);

/** kq_stream_features_check - Return: 0, or -1 with @error set when a value is not auto, on or off
 */
int kq_stream_features_check (const KqSettings *settings, const char *path, KqError *error);

/** kq_stream_features_log - reads the optional parts in use from the settings and from what the
 * deployment asks for, and logs them */
KqStreamFeatures kq_stream_features_log (const KqSettings *settings,
                                         const KqStreamAdapter *adapter);

/** kq_stream_log_incarnation_changed - logs that the process continues under a new incarnation
 * after its peers had declared it dead; see KqControlOps */
void kq_stream_log_incarnation_changed (uint64_t incarnation, void *data);

/** kq_stream_log_malformed - logs that a datagram from @from could not be decoded */
void kq_stream_log_malformed (const KqAddress *from, const KqError *why);

/** kq_stream_log_event - logs an event of the router or of the agent's stream table */
void kq_stream_log_event (int level, const char *name, const char *details, void *data);
