#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/log.h"

int
kq_program_parse_key (const char *text, uint8_t key[KQ_KEY_BYTES])
{
  size_t length = 0;
  if (sodium_hex2bin (key, KQ_KEY_BYTES, text, strlen (text), NULL, &length, NULL) < 0)
    return -1;
  return length == KQ_KEY_BYTES && strlen (text) == KQ_KEY_DIGITS ? 0 : -1;
}

void
kq_program_copy_name (char out[KQ_NAME_BYTES], const char *name)
{
  snprintf (out, KQ_NAME_BYTES, "%s", name);
}

void
kq_program_init_self (KqMember *self, KqRole role, const char *name, const char *failure_domain,
                      const KqAddress *data)
{
  self->peer.id = kq_hash_name (name);
  self->peer.incarnation = kq_clock_wall_us ();
  self->peer.data = *data;
  self->role = role;
  self->state = KQ_MEMBER_ALIVE;
  self->phase = KQ_PHASE_STARTING;
  kq_program_copy_name (self->name, name);
  kq_program_copy_name (self->failure_domain, failure_domain);
}

int
kq_program_check_control (const KqSettings *settings, const char *path, KqError *error)
{
  uint8_t key[KQ_KEY_BYTES];
  if (kq_program_parse_key (kq_settings_text (settings, "control.key"), key) < 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "%s:%u: control.key: not hexadecimal; write 64 digits of 0-9 and a-f",
                         path, kq_settings_line (settings, "control.key"));
  const char *old_key = kq_settings_text (settings, "control.old_key");
  if (old_key[0] != '\0' && kq_program_parse_key (old_key, key) < 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "%s: control.old_key: not hexadecimal; write 64 digits or remove it",
                         path);
  return 0;
}

void
kq_program_log_seeds (const KqControlParams *params)
{
  if (params->seed_count == 0)
    kq_log (LOG_NOTICE, "seeds-empty",
            "reason=\"other instances must contact this one; set control.seeds to join\"");
}

void
kq_program_update_control (KqControl *control, const KqControlParams *params)
{
  kq_program_log_seeds (params);
  kq_control_set_seeds (control, params->seeds, params->seed_count);
  kq_control_set_keys (control, params->key, params->has_old_key ? params->old_key : NULL);
}

void
kq_program_read_control_params (const KqSettings *settings, KqControlParams *params)
{
  params->self.control = kq_settings_address (settings, "control.address");
  params->seed_count =
      kq_settings_address_list (settings, "control.seeds", params->seeds, KQ_SEEDS_MAX);
  int64_t port = kq_settings_integer (settings, "control.seed_port");
  for (unsigned i = 0; port > 0 && i < params->seed_count; i++)
    params->seeds[i].port = (uint16_t)port;
  kq_program_parse_key (kq_settings_text (settings, "control.key"), params->key);
  const char *old_key = kq_settings_text (settings, "control.old_key");
  params->has_old_key = kq_program_parse_key (old_key, params->old_key) == 0;
  params->probe_interval_us = kq_settings_integer (settings, "control.probe_interval_ms") * KQ_MS;
  params->suspicion_us = kq_settings_integer (settings, "control.suspicion_ms") * KQ_MS;
  params->budget_bytes_per_s =
      (unsigned)kq_settings_integer (settings, "control.budget_bytes_per_s");
}

int
kq_program_parse_service (const KqDocument *document, KqService *service)
{
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  if (kq_service_parse (document->bytes, document->size, document->revision, service, &error) == 0)
    return 0;
  kq_log (LOG_ERR, "document-refused", "service=%u error=%s", document->service,
          kq_log_quote (error.message, quoted));
  return -1;
}
