/* Settings that balancer and agent have in common. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/service_document.h"
#include "kumquat/settings.h"

#define KQ_KEY_BYTES  32
#define KQ_KEY_DIGITS 64

/* clang-format off */
#define KQ_SETTING_SPEC_NAME                                                                       \
  { "name", KQ_SETTING_TEXT, true, 1, KQ_NAME_BYTES - 1, NULL, "unique name of this instance" }

#define KQ_SETTING_SPEC_FAILURE_DOMAIN                                                             \
  { "failure_domain", KQ_SETTING_TEXT, true, 1, KQ_NAME_BYTES - 1, NULL,                           \
    "failure domain that this instance runs in" }

#define KQ_SETTING_SPECS_CONTROL                                                                   \
  { "control.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,                                       \
    "address of the control ports, UDP and TCP" },                                                 \
  { "control.seeds", KQ_SETTING_ADDRESS_LIST, false, 0, KQ_SEEDS_MAX, "",                          \
    "control addresses of instances to join through" },                                            \
  { "control.seed_port", KQ_SETTING_INTEGER, false, 0, 65535, "0",                                 \
    "port of the seeds, where it is another than the one written; 0: as written" },                \
  { "control.key", KQ_SETTING_TEXT, true, 64, 64, NULL,                                            \
    "key of control traffic, 64 hexadecimal digits, the same on all instances" },                  \
  { "control.old_key", KQ_SETTING_TEXT, false, 0, 64, "",                                          \
    "key that is accepted besides, while keys are rotated" },                                      \
  { "control.probe_interval_ms", KQ_SETTING_INTEGER, false, 50, 60000, "200",                      \
    "milliseconds between probes of one member each" },                                            \
  { "control.suspicion_ms", KQ_SETTING_INTEGER, false, 100, 600000, "2500",                        \
    "milliseconds that a suspected member has to refute" },                                        \
  { "control.budget_bytes_per_s", KQ_SETTING_INTEGER, false, 1000, 100000000, "21000",             \
    "limit of the bytes a second that control traffic sends" }
/* clang-format on */

/** kq_program_control_params - fills @params but for its self */
void kq_program_control_params (const KqSettings *settings, KqControlParams *params);

/** kq_program_fill_self - fills what a process announces of itself at its start, with an
 * incarnation that is newer than those of its earlier lives */
void kq_program_fill_self (KqMember *self, KqRole role, const char *name,
                           const char *failure_domain, const KqAddress *data);

/** kq_program_check_control - Return: 0, or -1 with @error set */
int kq_program_check_control (const KqSettings *settings, const char *path, KqError *error);

/** kq_program_set_control_keys - gives a running control plane the keys of reloaded settings */
void kq_program_set_control_keys (KqControl *control, const KqControlParams *params);

/** kq_program_parse_key - Return: 0, or -1 when @text is not 64 hexadecimal digits */
int kq_program_parse_key (const char *text, uint8_t key[KQ_KEY_BYTES]);

/** kq_program_copy_name - copies a name that settings have checked */
void kq_program_copy_name (char out[KQ_NAME_BYTES], const char *name);

/** kq_program_read_service - reads the document of a service that came from a peer or the store;
 * one that cannot be read is logged. Return: 0, or -1 */
int kq_program_read_service (const KqDocument *document, KqService *service);
