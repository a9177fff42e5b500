import {findRoute} from '../../src/gateway/catalogue.ts';
import {catalogueOf, host, routeOf} from '../support/gateways.ts';

const catalogue = catalogueOf({routes: ['/', '/a/', '/a/b/', '/c/'].map(pathPrefix => routeOf({pathPrefix}))});

test.each([
	['/a/b/c', '/a/b/'],
	['/a/b/', '/a/b/'],
	['/a/bc', '/a/'],
	['/a', '/'],
	['/x/y/z', '/'],
	['/', '/'],
])('the path %s takes the longest prefix that begins it', (path, prefix) => {
	expect(findRoute(catalogue, host, path)?.pathPrefix).toBe(prefix);
});

test('a host without routes, or no fitting prefix, has no route', () => {
	expect(findRoute(catalogue, 'other.example', '/a/')).toBeUndefined();
	expect(findRoute(catalogueOf({routes: [routeOf({pathPrefix: '/a/'})]}), host, '/b/')).toBeUndefined();
});
