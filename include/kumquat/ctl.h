/* The operators' command. */
#pragma once

/* Exit statuses of kumquatctl; docs/reference/commands.md lists them. */
#define KQ_CTL_OK          0 /* done; of a confirm: yes */
#define KQ_CTL_FAILED      1
#define KQ_CTL_USAGE       2
#define KQ_CTL_REFUSED     3 /* the plan would break a promise */
#define KQ_CTL_CONFLICT    4 /* of a confirm: no, the base changed; plan again */
#define KQ_CTL_UNKNOWN     5 /* of a confirm: not known yet; confirm the same plan again */
#define KQ_CTL_UNAVAILABLE 6 /* the balancer or the store did not answer; nothing was changed */
#define KQ_CTL_DENIED      7 /* wrong operator key */

/** kq_ctl_main - the whole main; Return: the exit status */
int kq_ctl_main (int argc, const char **argv);
