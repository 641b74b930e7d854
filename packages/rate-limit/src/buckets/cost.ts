import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** What a task takes from a quota: requests and tokens. */
export const Cost = v.strictObject({ requests: Count, tokens: Count });
export type Cost = v.InferOutput<typeof Cost>;
