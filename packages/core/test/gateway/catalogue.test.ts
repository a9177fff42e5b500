import {findRoute} from '../../src/gateway/catalogue.ts';
import {createTestCatalogue, host, createRoute} from '../support/gateways.ts';

const catalogue = createTestCatalogue({routes: ['/', '/a/', '/a/b/', '/c/'].map(pathPrefix => createRoute({pathPrefix}))});

test.each([
	['/a/b/c', '/a/b/'],
	['/a/b/', '/a/b/'],
	['/a/bc', '/a/'],
	['/a', '/'],
	['/x/y/z', '/'],
	['/', '/'],
])('the path %s matches the route with its longest prefix', (path, prefix) => {
	expect(findRoute(catalogue, host, path)?.pathPrefix).toBe(prefix);
});

test('an unknown host, or a path without a matching prefix, has no route', () => {
	expect(findRoute(catalogue, 'other.example', '/a/')).toBeUndefined();
	expect(findRoute(createTestCatalogue({routes: [createRoute({pathPrefix: '/a/'})]}), host, '/b/')).toBeUndefined();
});
