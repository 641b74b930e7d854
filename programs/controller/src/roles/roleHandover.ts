import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { Balances } from '@pewterlanding/rate-limit';

/** A role that was let go under an epoch, with the balances its holder had. Of worth to the holder of the very next epoch alone. */
export const RoleHandover = v.strictObject({ role: v.string(), term: Count, balances: Balances });
export type RoleHandover = v.InferOutput<typeof RoleHandover>;
