/* A feed observes the resource "board" (RFC 7641), renews its registration every RENEW_INTERVAL and
 * counts as broken after SILENCE_LIMIT without a notification. */
#include "caller.h"

#include <stdio.h>
#include <string.h>

#define RENEW_INTERVAL (KQ_SECOND)
#define SILENCE_LIMIT  (4 * KQ_SECOND) /* the time of 20 notifications */
#define FEED_TOKEN     0xfeu

static void
renew_observation (CallerFlow *flow, KqTime now)
{
  KqCoapMessage message = { .type = KQ_COAP_CON,
                            .code = KQ_COAP_GET,
                            .message_id = flow->next_id++,
                            .token = { FEED_TOKEN, (uint8_t)(flow->index >> 8),
                                       (uint8_t)flow->index, (uint8_t)flow->generation },
                            .token_size = 4,
                            .observe_present = true };
  snprintf (message.path, sizeof message.path, "board");
  snprintf (message.query, sizeof message.query, "s=%s&f=%s&n=%u&deadline=%d&class=feed",
            flow->caller->service, flow->name, ++flow->request, flow->caller->deadline_ms);
  flow->last_renewal_at = now;
  caller_flow_send (flow, &message);
}

void
caller_feed_tick (CallerFlow *flow, KqTime now)
{
  if (flow->last_notification_at == 0)
    flow->last_notification_at = now;
  if (now - flow->last_renewal_at >= RENEW_INTERVAL && !flow->caller->closing)
    renew_observation (flow, now);
  if (flow->feed_established && now - flow->last_notification_at > SILENCE_LIMIT && !flow->broken)
    {
      flow->caller->counts.silent++;
      caller_flow_break (flow, "feed-silent");
    }
}

void
caller_feed_message (CallerFlow *flow, const KqCoapMessage *message, KqTime now)
{
  ContentHead head;
  if (message->code != KQ_COAP_CONTENT || !message->observe_present)
    return;
  if (message->token_size != 4 || message->token[0] != FEED_TOKEN ||
      message->token[1] != (uint8_t)(flow->index >> 8) || message->token[2] != (uint8_t)flow->index)
    {
      flow->caller->counts.crossed++;
      return;
    }
  if (message->token[3] != (uint8_t)flow->generation ||
      !caller_flow_check_head (flow, message, &head))
    return;
  if (!flow->feed_established)
    flow->caller->counts.feeds++;
  flow->feed_established = true;
  flow->last_notification_at = now;
  flow->caller->counts.notifications++;
}
