package org.boragethread.model.config;

import io.vavr.collection.SortedMap;
import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/** Presents a persistent map as an unmodifiable Java map without copying it. */
final class MapView<K extends Comparable<K>, V> extends AbstractMap<K, V> {

    private final Class<K> mKeyType;
    private final SortedMap<K, V> mMap;

    MapView(Class<K> keyType, SortedMap<K, V> map) {
        mKeyType = keyType;
        mMap = map;
    }

    @Override
    public int size() {
        return mMap.size();
    }

    @Override
    public boolean containsKey(Object key) {
        return mKeyType.isInstance(key) && mMap.containsKey(mKeyType.cast(key));
    }

    @Override
    public V get(Object key) {
        return mKeyType.isInstance(key) ? mMap.get(mKeyType.cast(key)).getOrNull() : null;
    }

    @Override
    public Set<Map.Entry<K, V>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public Iterator<Map.Entry<K, V>> iterator() {
                return mMap.iterator()
                        .<Map.Entry<K, V>>map(e -> new SimpleImmutableEntry<>(e._1, e._2));
            }

            @Override
            public int size() {
                return mMap.size();
            }
        };
    }
}
