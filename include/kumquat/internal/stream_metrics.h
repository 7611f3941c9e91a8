/* Counters of the daemons that balance streams. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/http_server.h"
#include "kumquat/internal/stream_holder.h"
#include "kumquat/internal/stream_router.h"
#include "kumquat/metrics.h"

/** kq_stream_metrics_router - sets a balancer's series; @routes is NULL before the first ones */
void kq_stream_metrics_router (KqMetrics *metrics, const KqStreamRouterStats *stats,
                               const KqRouteTable *routes, unsigned serving_targets,
                               uint64_t malformed);

/** kq_stream_metrics_holder - sets an agent's series */
void kq_stream_metrics_holder (KqMetrics *metrics, const KqStreamHolderStats *stats,
                               const KqTargetLoad *load, const KqTargetLife *life,
                               uint64_t malformed);

/** kq_stream_metrics_respond - answers with all series and those of the control plane */
void kq_stream_metrics_respond (KqHttpRequest *request, KqMetrics *metrics,
                                const KqControl *control);
