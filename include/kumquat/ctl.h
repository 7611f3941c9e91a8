/* Command-line client of the operators' interface. */
#pragma once

/* Exit statuses of kumquatctl; docs/reference/commands.md lists them. */
#define KQ_CTL_OK          0 /* success; confirm: the plan is written */
#define KQ_CTL_FAILED      1
#define KQ_CTL_USAGE       2
#define KQ_CTL_REFUSED     3 /* the plan would violate a guarantee */
#define KQ_CTL_CONFLICT    4 /* confirm: not written, the configuration changed; plan again */
#define KQ_CTL_UNKNOWN     5 /* confirm: outcome unknown; confirm the same plan again */
#define KQ_CTL_UNAVAILABLE 6 /* no answer from the balancer or the store; nothing changed */
#define KQ_CTL_DENIED      7 /* wrong operator key */

struct KqStreamAdapter; /* kumquat/internal/stream_adapter.h */

/** kq_ctl_main - main function of kumquatctl; @adapter reads configurations of streams. Return: the
 * exit status */
int kq_ctl_main (int argc, const char **argv, const struct KqStreamAdapter *adapter);
