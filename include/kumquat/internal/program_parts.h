/* Settings and start-up code shared by balancer and agent. */
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
    "port to use for all seeds instead of their own; 0: use the ports of the seeds" },             \
  { "control.key", KQ_SETTING_TEXT, true, 64, 64, NULL,                                            \
    "key of control traffic, 64 hexadecimal digits, the same on all instances" },                  \
  { "control.old_key", KQ_SETTING_TEXT, false, 0, 64, "",                                          \
    "previous key, still accepted during key rotation" },                                          \
  { "control.probe_interval_ms", KQ_SETTING_INTEGER, false, 50, 60000, "200",                      \
    "milliseconds between probes; each probes one member" },                                       \
  { "control.suspicion_ms", KQ_SETTING_INTEGER, false, 100, 600000, "2500",                        \
    "milliseconds that a suspected member has to refute the suspicion" },                          \
  { "control.budget_bytes_per_s", KQ_SETTING_INTEGER, false, 1000, 100000000, "21000",             \
    "maximum number of bytes per second sent as control traffic" }
/* clang-format on */

/** kq_program_read_control_params - sets @params from the settings; of its self, only the control
 * address is set */
void kq_program_read_control_params (const KqSettings *settings, KqControlParams *params);

/** kq_program_init_self - initializes the member record that a process announces at start; the new
 * incarnation is greater than all earlier ones of this instance */
void kq_program_init_self (KqMember *self, KqRole role, const char *name,
                           const char *failure_domain, const KqAddress *data);

/** kq_program_check_control - Return: 0, or -1 with @error set */
int kq_program_check_control (const KqSettings *settings, const char *path, KqError *error);

/** kq_program_log_seeds - logs that there are no seeds, which is allowed */
void kq_program_log_seeds (const KqControlParams *params);

/** kq_program_update_control - applies reloaded keys and seeds to a running control plane */
void kq_program_update_control (KqControl *control, const KqControlParams *params);

/** kq_program_parse_key - Return: 0, or -1 when @text is not 64 hexadecimal digits */
int kq_program_parse_key (const char *text, uint8_t key[KQ_KEY_BYTES]);

/** kq_program_copy_name - copies a name whose length was validated by the settings */
void kq_program_copy_name (char out[KQ_NAME_BYTES], const char *name);

/** kq_program_parse_service - parses a service document received from a peer or the store; logs an
 * error if it is invalid. Return: 0, or -1 */
int kq_program_parse_service (const KqDocument *document, KqService *service);
