/* Requests that the open streams of a target are expected to keep running. A stream is placed once
 * and may carry requests for a minute, so the load that it brings is more than its first request.
 */
#pragma once

#include <stdint.h>

#include "kumquat/types.h"

/**
 * struct KqStreamDemand - demand of one stream; embedded in the structure of its owner, zero at
 * first
 * @requests: requests so far
 * @interval_us: smoothed time between the starts of two requests
 * @last_at: when the last request started
 * @rate: requests per 1000 s that @KqDemandTotals.rate counts for it
 */
typedef struct
{
  uint32_t requests;
  KqTime interval_us;
  KqTime last_at;
  uint32_t rate;
} KqStreamDemand;

/**
 * struct KqDemandTotals - demand of all streams of a target
 * @rate: sum over the open streams, in requests per 1000 s
 * @new_rate: smoothed rate of recent streams, which a new stream counts with; 0 while streams carry
 *   one request
 */
typedef struct
{
  uint64_t rate;
  double new_rate;
} KqDemandTotals;

/** kq_stream_demand_open - counts a new stream with the mean of recent ones */
void kq_stream_demand_open (KqDemandTotals *totals, KqStreamDemand *demand, KqTime now);

/** kq_stream_demand_request - counts a request that starts at @now */
void kq_stream_demand_request (KqDemandTotals *totals, KqStreamDemand *demand, KqTime now);

/** kq_stream_demand_update - lowers the demand of a stream that has been idle for longer than its
 * interval; called from time to time */
void kq_stream_demand_update (KqDemandTotals *totals, KqStreamDemand *demand, KqTime now);

/** kq_stream_demand_close - removes a stream that carries no more requests; repeated calls have no
 * effect */
void kq_stream_demand_close (KqDemandTotals *totals, KqStreamDemand *demand);

/** kq_demand_expected_permille - Return: requests that the open streams keep running on average
 * with @service_us, in thousandths of one request */
uint32_t kq_demand_expected_permille (const KqDemandTotals *totals, KqTime service_us);

/** kq_demand_exceeds - Return: whether a new stream with the mean demand of recent ones would bring
 * the expected load above what a target with @slots takes in the long run; never while streams
 * carry one request */
bool kq_demand_exceeds (const KqDemandTotals *totals, KqTime service_us, unsigned slots);
