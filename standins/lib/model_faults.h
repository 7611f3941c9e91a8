/* Random schedules of requests and faults for the model world. */
#pragma once

#include "model_world.h"

#define KQ_MODEL_HOSTILE_END (70 * KQ_SECOND) /* after the last straggler of a schedule */

/**
 * kq_model_hostile_params - a world with every fault
 * @seed: decides the schedule as well
 * @disable: rules of the guard to switch off
 *
 * Lifetimes are short, so that copies also come after the end of each of them.
 */
KqModelParams kq_model_hostile_params (uint64_t seed, unsigned disable);

/** kq_model_hostile_run - sends requests under faults until KQ_MODEL_HOSTILE_END; Return: check */
KqModelCheck kq_model_hostile_run (uint64_t seed, unsigned disable);

/** kq_model_check_add - adds the counts of one world to a sum */
void kq_model_check_add (KqModelCheck *sum, const KqModelCheck *check);
