/* Metrics of the balancer and of the agent of streams. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/http_server.h"
#include "kumquat/internal/directory.h"
#include "kumquat/internal/stream_table.h"
#include "kumquat/internal/stream_router.h"
#include "kumquat/metrics.h"
#include "kumquat/settings.h"

/** kq_stream_metrics_update_balancer - updates the metrics of a balancer; @routes is NULL before
 * the first configuration */
void kq_stream_metrics_update_balancer (KqMetrics *metrics, const KqStreamRouterStats *stats,
                                        const KqRouteTable *routes, unsigned serving_targets,
                                        bool store_reachable, uint32_t store_era,
                                        uint64_t malformed);

/** kq_stream_metrics_update_directory - updates the metrics of a balancer on directory entries that
 * only another version writes */
void kq_stream_metrics_update_directory (KqMetrics *metrics,
                                         KqDirectoryInconsistencies inconsistencies);

/** kq_stream_metrics_update_agent - updates the metrics of an agent */
void kq_stream_metrics_update_agent (KqMetrics *metrics, const KqStreamTableStats *stats,
                                     const KqTargetLoad *load, const KqTargetProcess *life,
                                     uint64_t malformed);

/** kq_stream_metrics_open_latency - Return: (owned by @metrics) a balancer's histogram of the time
 * from a stream's first segment until a target accepted it */
KqMetric *kq_stream_metrics_open_latency (KqMetrics *metrics);

/** kq_stream_metrics_request_latency - Return: (owned by @metrics) an agent's histogram of the time
 * from a request until its answer began */
KqMetric *kq_stream_metrics_request_latency (KqMetrics *metrics);

/** kq_stream_metrics_listen - starts a second HTTP server with @handler if http.metrics_address is
 * set; Return: 0, or -1 with @error set */
int kq_stream_metrics_listen (const void *parent, struct tevent_context *ev,
                              const KqSettings *settings, KqHttpHandler handler, void *data,
                              KqError *error);

/** kq_stream_metrics_respond - responds with @metrics and the metrics of the control plane */
void kq_stream_metrics_respond (KqHttpRequest *request, KqMetrics *metrics,
                                const KqControl *control);

/** kq_stream_metrics_update_evacuation - sets the number of evacuated failure domains */
void kq_stream_metrics_update_evacuation (KqMetrics *metrics, unsigned domains);

/** kq_stream_metrics_log_balancer - logs what a balancer did between two states of its counters, in
 * @seconds */
void kq_stream_metrics_log_balancer (const KqStreamRouterStats *now,
                                     const KqStreamRouterStats *before, int seconds);
