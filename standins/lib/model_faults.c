#include <talloc.h>

#include "model_faults.h"

#define OPS       24
#define FAULTS    6
#define FLOWS     5
#define AGENTS    3
#define LENGTH_US (20 * KQ_SECOND)
#define BURST_US  (2 * KQ_SECOND)

KqModelParams
kq_model_faults_params (uint64_t seed, unsigned disable)
{
  return (KqModelParams){ .seed = seed,
                          .agents = AGENTS,
                          .loss = 0.15,
                          .duplicate = 0.2,
                          .straggler = 0.15,
                          .straggler_us = seed % 2 == 0 ? 30 * KQ_SECOND : 3 * KQ_SECOND,
                          .misroute = 0.05,
                          .delay_us = 3 * KQ_MS,
                          .workers = 2,
                          .shed_above = 4,
                          .separate = 0.3,
                          .answer_loss = 0.05,
                          .answer_duplicate = 0.1,
                          .ignores_cancel = seed % 2 == 0,
                          .resend_us = 150 * KQ_MS,
                          .guard = { .slots = 2,
                                     .queue_max = 2,
                                     .deadline_us = KQ_SECOND,
                                     .dedup_entries_max = 6,
                                     .dedup_lifetime_us = 15 * KQ_SECOND,
                                     .echo_us = 6 * KQ_SECOND,
                                     .ramp_us = KQ_SECOND,
                                     .disable = disable } };
}

static void
inject_fault (KqModel *model, void *data)
{
  KqRandom *random = kq_model_random (model);
  unsigned agent = (unsigned)kq_random_below (random, AGENTS);
  KqTime duration = (KqTime)kq_random_below (random, 3 * KQ_SECOND);
  (void)data;
  switch (kq_random_below (random, 5))
    {
    case 0:
      kq_model_crash (model, agent, duration);
      break;
    case 1:
      kq_model_freeze_agent (model, agent, duration);
      break;
    case 2:
      kq_model_freeze_target (model, agent, duration);
      break;
    case 3:
      kq_model_drain (model, agent);
      break;
    default:
      kq_model_move_flow (model, (unsigned)kq_random_below (random, FLOWS), agent);
      break;
    }
}

static void
schedule (KqModel *model, KqTime length_us)
{
  static const uint8_t methods[] = { KQ_COAP_GET,  KQ_COAP_PUT,  KQ_COAP_POST,
                                     KQ_COAP_POST, KQ_COAP_POST, KQ_COAP_POST };
  KqRandom *random = kq_model_random (model);
  for (unsigned i = 0; i < OPS; i++)
    {
      KqModelOp op = { .method = methods[kq_random_below (random, sizeof methods)],
                       .service_us = (KqTime)kq_random_below (random, 400 * KQ_MS),
                       .deadline_us = KQ_SECOND + (KqTime)kq_random_below (random, 8 * KQ_SECOND),
                       .flow = (unsigned)kq_random_below (random, FLOWS) };
      kq_model_request (model, (KqTime)kq_random_below (random, (uint64_t)length_us), &op);
    }
  for (unsigned i = 0; i < FAULTS; i++)
    kq_model_at (model, (KqTime)kq_random_below (random, LENGTH_US), inject_fault, NULL);
}

KqModelCheck
kq_model_faults_run (uint64_t seed, unsigned disable)
{
  KqModelParams params = kq_model_faults_params (seed, disable);
  KqModel *model = kq_model_new (NULL, &params);
  schedule (model, seed % 3 == 0 ? BURST_US : LENGTH_US);
  kq_model_run (model, KQ_MODEL_FAULTS_END);
  KqModelCheck check = kq_model_check (model);
  talloc_free (model);
  return check;
}

void
kq_model_check_add (KqModelCheck *sum, const KqModelCheck *check)
{
  sum->duplicate_runs += check->duplicate_runs;
  sum->false_not_run += check->false_not_run;
  sum->wrong_answers += check->wrong_answers;
  sum->false_answers += check->false_answers;
  sum->runs += check->runs;
  for (unsigned i = 0; i <= KQ_MODEL_TIMED_OUT; i++)
    sum->outcomes[i] += check->outcomes[i];
}
