import * as v from 'valibot';
import type { Configuration } from '@pewterlanding/model';
import type { RegisterContent } from './registerContent.js';

const SourceDocument = v.object({ token: v.string() });

/** What the model looks at of a configuration that was read. */
export function contentOf(configuration: Configuration | undefined): RegisterContent {
  const source = v.safeParse(SourceDocument, configuration?.sourceDocument);
  return {
    revision: configuration?.revision ?? 0,
    token: source.success ? source.output.token : '',
    services: Object.keys(configuration?.services ?? {}).sort(),
  };
}
